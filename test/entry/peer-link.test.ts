/**
Links between gateways, over real sockets.
*/
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {WebSocket, WebSocketServer} from 'ws';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {LoopActivity} from '../../source/entry/loop-activity.js';
import {PeerLink} from '../../source/entry/peer-link.js';
import {clock} from '../../source/shared/clock.js';

type End = {readonly link: PeerLink; readonly received: PeerMessage[]; malformed: number; closed: string | undefined};

const maxMalformedFrames = 8;
const read: PeerMessage = {kind: 'read', target: 'i-1', readMilliseconds: 5};
/** As a gateway would send it whose values nobody checks. */
const malformed = {kind: 'read', target: 'i-1', readMilliseconds: 0.5} as unknown as PeerMessage;

const connect = async (t: Test): Promise<{readonly sender: PeerLink; readonly receiver: End}> => {
	const server = new WebSocketServer({host: '127.0.0.1', port: 0});
	await once(server, 'listening');
	const socket = new WebSocket(`ws://127.0.0.1:${(server.address() as AddressInfo).port}`);
	const [[accepted]] = await Promise.all([once(server, 'connection') as Promise<[WebSocket]>, once(socket, 'open')]);
	const common = {activity: new LoopActivity(clock), now: clock};
	const end: {received: PeerMessage[]; malformed: number; closed: string | undefined} = {received: [], malformed: 0, closed: undefined};
	const link = new PeerLink(accepted, false, {
		...common,
		onMessage(message) {
			end.received.push(message);
		},
		onMalformed() {
			end.malformed++;
		},
		onClosed(reason) {
			end.closed = reason;
		},
	});
	const sender = new PeerLink(socket, true, {
		...common, onMessage: () => undefined, onMalformed: () => undefined, onClosed: () => undefined,
	});
	t.teardown(() => {
		sender.close('test over');
		link.close('test over');
		server.close();
	});
	return {sender, receiver: Object.assign(end, {link})};
};

const until = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 5);
		});
	}
};

// Guards against a link that closes, and a peer that is lost, for one message.
test('a malformed message costs that message and is counted', async t => {
	const {sender, receiver} = await connect(t);
	for (const message of [read, malformed, malformed, read]) {
		sender.send(message);
	}

	await until(() => receiver.received.length === 2);
	t.equal(receiver.malformed, 2);
	t.equal(receiver.closed, undefined);
});

test('malformed messages without a proper one between them close the link', async t => {
	const {sender, receiver} = await connect(t);
	for (const message of [...Array.from({length: maxMalformedFrames - 1}, () => malformed), read, ...Array.from({length: maxMalformedFrames - 1}, () => malformed)]) {
		sender.send(message);
	}

	await until(() => receiver.malformed === 2 * (maxMalformedFrames - 1));
	t.equal(receiver.closed, undefined);
	sender.send(malformed);
	await until(() => receiver.closed !== undefined);
	t.equal(receiver.closed, '6002 malformed frames');
});
