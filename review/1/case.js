/**
One replica answers a call with a body that does not end. Meanwhile clients place bids at a
sound replica of another service, each on a connection that it keeps.
*/
import {answerWhole} from '../support/replica.js';
import {Scenario, hasTrouble, pause} from '../support/scenario.js';
import {
	calmMilliseconds, questions, routes, services,
} from '../support/site.js';
import {writeWithoutEnd} from '../support/streams.js';

const bidders = 24;
const bidMilliseconds = 150;
/** Between two bids of one client, on average; all of them place about 70 bids a second. */
const bidPauseMilliseconds = 200;
/** Bids that are answered before the disruption, or the case was not played. */
const minAnswered = 100;
const soundAnswerBytes = 300_000;
/** Under the link of a `side` machine, 2,000 Mbit/s. */
const megabytesPerSecond = 64;
const watchMilliseconds = 4000;
/** The rule is broken by more than three. */
const allowedLosses = 3;

const scenario = new Scenario(new URL('record.txt', import.meta.url));
await scenario.start({
	routes: [routes.bidPlace, routes.priceCheck],
	services: [services.auctionFloor, services.priceList],
	replicas: [
		{
			id: 'i-floor', service: 'auction-floor', run(response, arrival) {
				setTimeout(answerWhole, bidMilliseconds, response, arrival);
			},
		},
		{
			id: 'i-prices', service: 'price-list', run(response, arrival) {
				if (!hasTrouble) {
					answerWhole(response, arrival, 'x'.repeat(soundAnswerBytes));
					return;
				}

				response.writeHead(200, {'content-type': 'text/plain', 'x-request-id': arrival.requestId, 'x-response-signature': 'proof.i-prices'});
				writeWithoutEnd(response, megabytesPerSecond);
			},
		},
	],
});

const [gateway] = scenario.gateways;
let isGoing = true;
const bids = Array.from({length: bidders}, async () => scenario.askRepeatedly(questions.bid, () => isGoing && gateway.ended === undefined, bidPauseMilliseconds));
await pause(calmMilliseconds);
const price = await scenario.ask(scenario.createClient(), questions.price);
await pause(watchMilliseconds);
isGoing = false;
const connections = await Promise.all(bids);
const replies = connections.flat();

const ran = scenario.runsOf('i-floor');
const lost = replies.filter(({status, isKept, requestId}) => status === 0 && isKept && ran.has(requestId));
const answered = replies.filter(({isWhole}) => isWhole).length;
await scenario.finish({isBroken: lost.length > allowedLosses, isPlayed: answered >= minAnswered && scenario.runsOf('i-prices').size > 0}, {
	bids: replies.length,
	answered,
	lost: lost.map(({requestId}) => requestId),
	price: `${price.status}, ${price.bytes} bytes, whole: ${price.isWhole}`,
	gateway: gateway.ended ?? 'running',
	fatal: scenario.fatalLine(1),
});
