/**
One of three replicas stops in the middle of an event in one of fifty of its streams, and ends
the body there.
*/
import {Scenario, hasTrouble, pause} from '../support/scenario.js';
import {
	calmMilliseconds, engine, questions, routes, services,
} from '../support/site.js';
import {answerStream, events, writeStreamHead} from '../support/streams.js';

const clients = 20;
const eventCount = 6;
const eventGapMilliseconds = 20;
const troubleMilliseconds = 5500;
/** The replica breaks off 0.02 of its answers. */
const answersPerFault = 50;
const missingBytes = 5;
/** Whole streams, or the case was not played. */
const minWhole = 100;

const scenario = new Scenario(new URL('record.txt', import.meta.url));
let isTroubled = false;
let faults = 0;
let faultyRuns = 0;
const runSound = (response, arrival) => {
	answerStream(response, arrival, {count: eventCount, gapMilliseconds: eventGapMilliseconds});
};

const runFaulty = (response, arrival) => {
	faultyRuns++;
	if (!isTroubled || faultyRuns % answersPerFault !== 0) {
		runSound(response, arrival);
		return;
	}

	faults++;
	scenario.write('stops inside an event', {replica: arrival.replica, request: arrival.requestId});
	writeStreamHead(response, arrival);
	const next = Number(arrival.headers['last-event-id'] ?? 0) + 1;
	response.end(events(next, eventCount).slice(0, -missingBytes));
};

await scenario.start({
	routes: [routes.leafQuery],
	services: [services.appraiserModels],
	replicas: [engine('i-faulty', runFaulty), engine('i-sound-1', runSound), engine('i-sound-2', runSound)],
});

let isGoing = true;
const asked = Array.from({length: clients}, async () => scenario.askRepeatedly(questions.leaf, () => isGoing));
await pause(calmMilliseconds);
isTroubled = hasTrouble;
await pause(troubleMilliseconds);
isTroubled = false;
isGoing = false;
const connections = await Promise.all(asked);
const replies = connections.flat();

const successes = replies.filter(({status, isWhole}) => status === 200 && isWhole);
const cut = successes.filter(({body}) => body !== events(1, eventCount));
await scenario.finish({isBroken: cut.length > 0, isPlayed: successes.length - cut.length >= minWhole && (faults > 0) === hasTrouble}, {
	streams: replies.length,
	successes: successes.length,
	faults,
	cut: cut.map(({requestId, headers, body}) => ({requestId, signature: headers['x-response-signature'], end: body.slice(-24)})),
});
