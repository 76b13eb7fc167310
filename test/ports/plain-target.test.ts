/**
A sidecar's calls to the plain service beside it.
*/
import net, {type AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import type {AttemptMessage} from '../../source/generated/messages.js';
import {resultCode} from '../../source/generated/result-codes.js';
import {PlainTarget} from '../../source/ports/plain-target.js';
import type {TargetResult} from '../../source/ports/target-result.js';

const call = {
	method: 'POST', path: '/bids', requestId: 'r1', organisation: 'joiners-cork', body: '{}',
} as unknown as AttemptMessage;

const run = async (t: Test, answer: (socket: net.Socket) => void): Promise<{readonly result: TargetResult; readonly text: string}> => {
	const server = net.createServer(socket => {
		socket.on('error', () => {
			// The sidecar may reset the connection.
		});
		socket.once('data', () => {
			answer(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const target = new PlainTarget(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
	t.teardown(async () => {
		await target.close();
		server.close();
	});
	let text = '';
	const result = await target.run(call, part => {
		text += part;
	}, AbortSignal.timeout(5000));
	return {result, text};
};

test('a whole answer is passed on with its status', async t => {
	t.match(await run(t, socket => {
		socket.end('HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone');
	}), {result: {code: resultCode.ok, status: 404}, text: 'none'});
});

// Guards against an answer for the caller whose status HTTP does not have.
test('MIXED: an answer whose status HTTP does not have is no answer', async t => {
	for (const status of ['000', '099', '101', '600']) {
		t.match(await run(t, socket => { // eslint-disable-line no-await-in-loop
			socket.end(`HTTP/1.1 ${status} Trouble\r\nContent-Length: 4\r\n\r\ndone`);
		}), {result: {code: resultCode.targetLost, status: 502}, text: ''}, status);
	}
});

// Guards against passing on as whole what a reset has cut, because Node.js reports a reset that is read with the last bytes as an ordinary end.
test('MIXED: an answer without a length that a reset has cut is no answer', async t => {
	for (const isAtOnce of [true, false]) {
		t.match(await run(t, socket => { // eslint-disable-line no-await-in-loop
			socket.write('HTTP/1.1 200 OK\r\n\r\npart');
			setTimeout(() => {
				socket.resetAndDestroy();
			}, isAtOnce ? 0 : 30);
		}), {result: {code: resultCode.targetLost}, text: ''}, isAtOnce ? 'at once' : 'later');
		t.match(await run(t, socket => { // eslint-disable-line no-await-in-loop
			socket.write('HTTP/1.1 200 OK\r\n\r\npart');
			socket.resetAndDestroy();
		}), {result: {code: resultCode.targetLost}, text: ''});
	}
});
