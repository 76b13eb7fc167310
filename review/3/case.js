/**
One replica answers ten streams with bodies that do not end and hold no whole event after the
first. Meanwhile clients place bids, on a route with a short timeout, at a sound replica of
another service.
*/
import {answerWhole} from '../support/replica.js';
import {Scenario, hasTrouble, pause} from '../support/scenario.js';
import {
	calmMilliseconds, engine, questions, routes, services,
} from '../support/site.js';
import {
	answerStream, events, writeStreamHead, writeWithoutEnd,
} from '../support/streams.js';

const bidders = 20;
const bidMilliseconds = 100;
/** Between two bids of one client, on average; all of them place about 36 bids a second, as on the sheet. */
const bidPauseMilliseconds = 450;
/** Bids that are answered in time, or the case was not played. */
const minAnswered = 100;
/** A request that is still unanswered at its route's timeout has an answer this much later. */
const slackMilliseconds = 500;
const dossierCount = 10;
/** Of these, streams that the engine began, or the case was not played. */
const minStarted = 5;
/** Of each answer; all of them are under the link of a `side` machine, 2,000 Mbit/s, and of an `edge` machine, 1,000 Mbit/s. */
const megabytesPerSecond = 8;
/** Eight or more, as in the rule on requests that last longer than their timeout. */
const minLate = 8;
const watchMilliseconds = 1000;
const clockCheckMilliseconds = 20;

const scenario = new Scenario(new URL('record.txt', import.meta.url));
await scenario.start({
	routes: [routes.lotDossier, routes.bidPlace],
	services: [services.appraiserModels, services.auctionFloor],
	replicas: [
		engine('i-engine', (response, arrival) => {
			if (hasTrouble) {
				writeStreamHead(response, arrival);
				response.write(events(1, 1));
				writeWithoutEnd(response, megabytesPerSecond);
			} else {
				answerStream(response, arrival, {count: 17, gapMilliseconds: 50});
			}
		}),
		{
			id: 'i-floor', service: 'auction-floor', run(response, arrival) {
				setTimeout(answerWhole, bidMilliseconds, response, arrival);
			},
		},
	],
});

// How late the timers of this process are: what clients measure is right to that much.
let checkedAt = performance.now();
let ownDelayMilliseconds = 0;
setInterval(() => {
	const now = performance.now();
	ownDelayMilliseconds = Math.max(ownDelayMilliseconds, now - checkedAt - clockCheckMilliseconds);
	checkedAt = now;
}, clockCheckMilliseconds);

let isGoing = true;
const bids = Array.from({length: bidders}, async () => scenario.askRepeatedly(questions.bid, () => isGoing, bidPauseMilliseconds));
await pause(calmMilliseconds);
const dossiers = await Promise.all(Array.from({length: dossierCount}, async () => {
	const sentAt = performance.now();
	const reply = await scenario.ask(scenario.createClient(), questions.dossier);
	return {...reply, milliseconds: performance.now() - sentAt};
}));
await pause(watchMilliseconds);
isGoing = false;
const connections = await Promise.all(bids);
const replies = connections.flat();

// All requests count, those of the streams too, each against the timeout of its route.
const all = [
	...replies.map(({milliseconds}) => milliseconds - routes.bidPlace.timeoutMs),
	...dossiers.map(({milliseconds}) => milliseconds - routes.lotDossier.timeoutMs),
];
const unanswered = all.filter(overtime => overtime > 0);
const late = unanswered.filter(overtime => overtime > slackMilliseconds);
const started = scenario.runsOf('i-engine').size;
const answeredInTime = replies.filter(({status, milliseconds}) => status === 200 && milliseconds <= routes.bidPlace.timeoutMs).length;
await scenario.finish({isBroken: late.length >= minLate && late.length * 2 > unanswered.length, isPlayed: answeredInTime >= minAnswered && started >= minStarted}, {
	bids: replies.length,
	answeredInTime,
	started,
	unansweredAtTimeout: unanswered.length,
	late: late.length,
	longestMilliseconds: Math.round(Math.max(...replies.map(({milliseconds}) => milliseconds))),
	ownDelayMilliseconds: Math.round(ownDelayMilliseconds),
	dossiers: dossiers.map(({status, bytes, isWhole}) => `${status}, ${bytes} bytes, whole: ${isWhole}`),
	gateway: scenario.gateways[0].ended ?? 'running',
});
