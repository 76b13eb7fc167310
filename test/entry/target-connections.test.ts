/**
Who gets the connections that a target accepts.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test, type Test} from 'tap';
import type {AnswerPacer} from '../../source/entry/answer-pacer.js';
import {TargetConnections} from '../../source/entry/target-connections.js';

/** Nothing listens there; connections count as in use from the moment at which a request is sent on them. */
const address = '127.0.0.1:1';
const maxConnections = 20;

const start = (t: Test): {readonly acquire: (isSentAhead: boolean) => boolean} => {
	const connections = new TargetConnections({} as AnswerPacer);
	t.teardown(() => {
		connections.close();
	});
	let count = 0;
	return {
		acquire(isSentAhead) {
			count++;
			const requestId = `r${count}`;
			const connection = connections.acquire({
				address, requestId, maxConnections, gateways: 1, isSentAhead, now: 0,
			});
			if (option.isNone(connection)) {
				return false;
			}

			connection.value.send({
				requestId, method: 'GET', path: '/', headers: [], body: undefined,
			}, {
				mayStart: () => true, onHead: () => undefined, onData: () => undefined, onEnd: () => undefined,
			});
			return true;
		},
	};
};

// Guards against a crowd that sends requests ahead and leaves no connection to callers that wait for their answers.
test('requests that were sent ahead leave a quarter of the connections to others', t => {
	const {acquire} = start(t);
	const ahead = Array.from({length: 30}, () => acquire(true)).filter(Boolean).length;
	const others = Array.from({length: 30}, () => acquire(false)).filter(Boolean).length;
	t.strictSame({ahead, others}, {ahead: 13, others: 5}, 'of 18, nine tenths of what the target accepts');
	t.end();
});

test('requests that were not sent ahead may use all connections', t => {
	const {acquire} = start(t);
	t.equal(Array.from({length: 30}, () => acquire(false)).filter(Boolean).length, 18);
	t.notOk(acquire(true));
	t.end();
});
