/**
Tests the calls of the duty interface against a stand-in.
*/
import net, {type AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {PlatformDutyInterface} from '../../platform/platform-duty-interface.js';
import {PlatformDutyStandIn} from '../../stand-ins/platform-duty-stand-in.js';

const authority = {holder: 'gateway-1', fencingToken: 2 ** 41, mayCall: () => true};

const start = async (t: Test) => {
	const standIn = new PlatformDutyStandIn();
	await standIn.start();
	t.teardown(() => {
		standIn.stop();
	});
	return {standIn, duties: new PlatformDutyInterface(() => standIn.address)};
};

test('a report is sent with the holder and its token', async t => {
	const {standIn, duties} = await start(t);
	t.strictSame(await duties.reportUsage(352, '{"joiners-cork":12}', authority), {kind: 'accepted'});
	t.strictSame(standIn.arrivals, [{
		path: 'POST /usage', holder: 'gateway-1', token: 2 ** 41, body: {windowNumber: 352, counts: {'joiners-cork': 12}},
	}]);
});

test('the platform\'s answers are told apart', async t => {
	const {standIn, duties} = await start(t);
	const send = async (status: PlatformDutyStandIn['status']) => {
		standIn.status = status;
		const {kind} = await duties.reportUsage(1, '{}', authority);
		return kind;
	};

	t.equal(await send(409), 'fenced');
	t.equal(await send(429), 'busy');
	t.equal(await send(500), 'rejected');
	t.equal(await send('reset'), 'unknown');
});

// Guards against a call that is made after the authority has ended while the connection was being opened.
test('the authority is checked on the open connection, just before the call is written', async t => {
	const {standIn, duties} = await start(t);
	let checks = 0;
	const outcome = await duties.reportUsage(1, '{}', {
		...authority,
		mayCall() {
			checks++;
			return false;
		},
	});
	t.match(outcome, {kind: 'not sent'});
	t.equal(checks, 1);
	t.equal(standIn.arrivals.length, 0);
});

// Guards against a call that waits in this system and arrives after those of the next holder.
test('a call without an answer ends, and its connection is reset', async t => {
	let isReset = false;
	const server = net.createServer(socket => {
		socket.on('data', () => undefined);
		socket.on('error', error => {
			isReset ||= (error as NodeJS.ErrnoException).code === 'ECONNRESET';
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const duties = new PlatformDutyInterface(() => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	t.match(await duties.reportUsage(1, '{}', authority), {kind: 'unknown', reason: 'no answer in time'});
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	t.ok(isReset);
});

test('an interface that cannot be reached is not called', async t => {
	const duties = new PlatformDutyInterface(() => '127.0.0.1:1');
	t.match(await duties.reportUsage(1, '{}', authority), {kind: 'not sent'});
});
