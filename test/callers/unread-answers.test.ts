/**
Answers that callers do not read, while nobody sends anything.
*/
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {test} from 'tap';
import type {Logger} from 'roarr';
import {CallerGuard} from '../../source/callers/caller-guard.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {clock} from '../../source/shared/clock.js';

const callerBytes = 2_000_000;
const answerBytes = 900_000;

// Guards against answers that stay beyond the limit until some caller sends something.
test('LOST: unread answers are taken back also while no caller sends', async t => {
	const metrics = new EntryMetrics();
	const guard = new CallerGuard({
		callerBytes, headBytes: callerBytes, connections: 100, metrics, log: {warn: () => undefined} as unknown as Logger, now: clock,
	});
	const server = http.createServer();
	const sockets: net.Socket[] = [];
	server.on('connection', (socket: net.Socket) => {
		guard.add(socket);
		sockets.push(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const clients = Array.from({length: 3}, () => net.connect((server.address() as AddressInfo).port, '127.0.0.1'));
	t.teardown(() => {
		for (const client of clients) {
			client.destroy();
		}

		server.close();
	});
	const closed = clients.map(async client => {
		client.on('error', () => undefined);
		await once(client, 'close');
	});
	while (sockets.length < clients.length) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 5);
		});
	}

	const feeds = sockets.map(socket => guard.feedOf(socket)!);
	for (const feed of feeds.slice(0, 2)) {
		feed.setUnread(answerBytes);
	}

	await new Promise(resolve => {
		setTimeout(resolve, 20);
	});
	t.strictSame(sockets.map(({destroyed}) => destroyed), [false, false, false], 'within the limit nothing is closed');
	feeds[2]!.setUnread(answerBytes);
	await Promise.race(closed);
	t.equal(sockets.filter(({destroyed}) => destroyed).length, 1);
	guard.recordGauges();
	t.match(metrics.render(), /callers_held_bytes 1800000/);
	t.match(metrics.render(), /caller_closed_memory 1/);
});
