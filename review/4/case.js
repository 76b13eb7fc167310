/**
One replica answers one stream's request with a failure whose body does not end. The platform
kills a process that exceeds the memory in its settings. Meanwhile clients place bids at a sound
replica of another service, each on a connection that it keeps.
*/
import {Buffer} from 'node:buffer';
import {answerWhole} from '../support/replica.js';
import {Scenario, hasTrouble, pause} from '../support/scenario.js';
import {
	calmMilliseconds, engine, questions, routes, services,
} from '../support/site.js';
import {writeWithoutEnd} from '../support/streams.js';

const bidders = 24;
const bidMilliseconds = 150;
/** Between two bids of one client, on average; all of them place about 70 bids a second. */
const bidPauseMilliseconds = 200;
/** Bids that are answered before the disruption, or the case was not played. */
const minAnswered = 100;
/** Under the link of a `side` machine, 2,000 Mbit/s. */
const megabytesPerSecond = 64;
/** `memoryMb` of the settings. */
const memoryMegabytes = 350;
const memoryCheckMilliseconds = 20;
const watchMilliseconds = 1000;
/** The rule is broken by more than three. */
const allowedLosses = 3;
const failure = '{"error":"internal"}';

const scenario = new Scenario(new URL('record.txt', import.meta.url));
await scenario.start({
	routes: [routes.lotDossier, routes.bidPlace],
	services: [services.appraiserModels, services.auctionFloor],
	replicas: [
		engine('i-engine', (response, arrival) => {
			const headers = {'content-type': 'application/json', 'x-request-id': arrival.requestId, 'x-response-signature': `proof.${arrival.replica}`};
			if (hasTrouble) {
				response.writeHead(500, headers);
				writeWithoutEnd(response, megabytesPerSecond);
			} else {
				response.writeHead(500, {...headers, 'content-length': String(Buffer.byteLength(failure))});
				response.end(failure);
			}
		}),
		{
			id: 'i-floor', service: 'auction-floor', run(response, arrival) {
				setTimeout(answerWhole, bidMilliseconds, response, arrival);
			},
		},
	],
});

const [gateway] = scenario.gateways;
let largest = 0;
setInterval(() => {
	largest = Math.max(largest, gateway.memoryMegabytes);
	if (largest > memoryMegabytes && gateway.ended === undefined) {
		scenario.write('killed by the platform', {memoryMegabytes: Math.round(largest)});
		gateway.signal('SIGKILL');
	}
}, memoryCheckMilliseconds);

let isGoing = true;
const bids = Array.from({length: bidders}, async () => scenario.askRepeatedly(questions.bid, () => isGoing && gateway.ended === undefined, bidPauseMilliseconds));
await pause(calmMilliseconds);
const dossier = await scenario.ask(scenario.createClient(), questions.dossier);
await pause(watchMilliseconds);
isGoing = false;
const connections = await Promise.all(bids);
const replies = connections.flat();

const ran = scenario.runsOf('i-floor');
const lost = replies.filter(({status, isKept, requestId}) => status === 0 && isKept && ran.has(requestId));
const answered = replies.filter(({isWhole}) => isWhole).length;
await scenario.finish({isBroken: lost.length > allowedLosses, isPlayed: answered >= minAnswered && scenario.runsOf('i-engine').size > 0}, {
	bids: replies.length,
	answered,
	lost: lost.map(({requestId}) => requestId),
	largestMegabytes: Math.round(largest),
	dossier: `${dossier.status}, ${dossier.bytes} bytes, whole: ${dossier.isWhole}`,
	gateway: gateway.ended ?? 'running',
});
