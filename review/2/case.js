/**
One of eight replicas crashes while it answers streams that may be resumed. The gateway sends
them once more, to a replica of another zone that answers with a failure of its own: 404, it has
not loaded the model.
*/
import {Buffer} from 'node:buffer';
import {Scenario, hasTrouble, pause} from '../support/scenario.js';
import {
	calmMilliseconds, engine, questions, routes, services,
} from '../support/site.js';
import {answerStream, events} from '../support/streams.js';

const clients = 4;
const eventCount = 6;
const eventGapMilliseconds = 100;
const crashMilliseconds = 4000;
const watchMilliseconds = 2000;
/** Replicas that have loaded another model; one of eight crashes. */
const others = Array.from({length: 7}, (_, index) => `i-other-${index + 1}`);
/** Whole streams before the crash, or the case was not played. */
const minWhole = 10;
const failure = '{"error":"this replica has not loaded the model"}';

const scenario = new Scenario(new URL('record.txt', import.meta.url));
await scenario.start({
	routes: [routes.leafQuery],
	services: [services.appraiserModels],
	replicas: [
		engine('i-loaded', (response, arrival) => {
			answerStream(response, arrival, {count: eventCount, gapMilliseconds: eventGapMilliseconds});
		}),
		...others.map(id => engine(id, (response, arrival) => {
			response.writeHead(404, {
				'content-type': 'application/json', 'content-length': String(Buffer.byteLength(failure)), 'x-request-id': arrival.requestId, 'x-response-signature': `proof.${arrival.replica}`,
			});
			response.end(failure);
		}, {zone: 'zone-b', models: [{name: 'n', version: 1, adapters: []}]})),
	],
});

let isGoing = true;
const asked = Array.from({length: clients}, async () => scenario.askRepeatedly(questions.leaf, () => isGoing));
await pause(calmMilliseconds);
await (hasTrouble ? scenario.crash('i-loaded', crashMilliseconds) : pause(crashMilliseconds));
await pause(watchMilliseconds);
isGoing = false;
const connections = await Promise.all(asked);
const replies = connections.flat();

const successes = replies.filter(({status, isWhole}) => status === 200 && isWhole);
const wrong = successes.filter(({body}) => body !== events(1, eventCount));
const failed = new Set(others.flatMap(id => [...scenario.runsOf(id)]));
const wrongSuccesses = wrong.filter(({requestId}) => failed.has(requestId));
await scenario.finish({isBroken: wrongSuccesses.length > 0, isPlayed: successes.length - wrong.length >= minWhole}, {
	streams: replies.length,
	successes: successes.length,
	failuresPassedOn: replies.filter(({status}) => status === 404).length,
	wrong: wrong.map(({requestId, status, headers, body}) => ({
		requestId, status, signature: headers['x-response-signature'], body, hasReplicaFailed: failed.has(requestId),
	})),
});
