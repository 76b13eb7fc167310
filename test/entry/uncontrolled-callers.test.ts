/**
Callers that do not wait for answers, and more bodies than a gateway has room for.
*/
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {test, type Test} from 'tap';
import {EntryFleet} from '../support/entry-fleet.js';

type Client = {readonly socket: net.Socket; text: string; isClosed: boolean};

const bodyBytes = 100_000;

const start = async (t: Test, resources?: {readonly memoryMegabytes: number; readonly descriptors: number}) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([{
		name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
	}], [{name: 'floor'}]);
	const target = await fleet.addTarget('i-1', 'floor');
	const gateway = await fleet.addGateway(resources === undefined ? {} : {resources});
	const connect = (text: string): Client => {
		const client: Client = {socket: net.connect(gateway.settings.listen.callers), text: '', isClosed: false};
		client.socket.setEncoding('latin1');
		client.socket.on('data', (data: Uint8Array | string) => {
			client.text += String(data);
		});
		client.socket.on('error', () => undefined);
		client.socket.on('close', () => {
			client.isClosed = true;
		});
		client.socket.write(text, 'latin1');
		t.teardown(() => {
			client.socket.destroy();
		});
		return client;
	};

	return {
		fleet, target, gateway, connect,
	};
};

const headOf = (requestId: string, ...headers: readonly string[]): string => ['POST /bids/1 HTTP/1.1', 'Host: a.example', `X-Request-Id: ${requestId}`, ...headers, '', ''].join('\r\n');

// Guards against requests that are begun without a bound, and against answers in a wrong order.
test('LOST, MIXED: requests that are sent at once on one connection run one after the other, and all are answered in their order', async t => {
	const {fleet, target, connect} = await start(t);
	let running = 0;
	let most = 0;
	target.answer = (response, {requestId, body}) => {
		running++;
		most = Math.max(most, running);
		setTimeout(() => {
			running--;
			response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'});
			response.end(`<${requestId} ${body}>`);
		}, 5);
	};

	const client = connect(Array.from({length: 30}, (_, index) => index % 2 === 0
		? `${headOf(`r${index}`, 'Content-Length: 6')}a\n\r\n\nb`
		: `${headOf(`r${index}`, 'Transfer-Encoding: chunked')}6\r\na\n\r\n\nb\r\n0\r\nX: y\r\n\r\n`).join(''));
	await fleet.until(() => client.text.includes('<r29 '));
	t.strictSame(client.text.match(/<r\d+ a\n\r\n\nb>/g), Array.from({length: 30}, (_, index) => `<r${index} a\n\r\n\nb>`));
	t.equal(most, 1);
	t.notOk(client.isClosed);
});

// Guards against a refusal that says "not run" and a request that runs all the same, and against a crowd that keeps small requests out.
test('TWICE, LOST: bodies for which there is no room are refused as not run, and never run; the others and small ones are served', async t => {
	const {fleet, gateway, target, connect} = await start(t, {memoryMegabytes: 180, descriptors: 2000});
	const clients = Array.from({length: 200}, (_, index) => connect(headOf(`c${index}`, `Content-Length: ${bodyBytes}`) + 'x'.repeat(bodyBytes - 1)));
	await fleet.until(() => clients.filter(({text}) => text !== '').length >= 70);
	t.equal(await fleet.status(gateway, {path: '/bids/1', requestId: 'small', body: 'small'}), 200);
	for (const {socket} of clients) {
		if (socket.writable) {
			socket.write('x');
		}
	}

	await fleet.until(() => clients.every(({text, isClosed}) => text !== '' || isClosed));
	const refused = clients.flatMap(({text}, index) => text.startsWith('HTTP/1.1 503') ? [`c${index}`] : []);
	const served = clients.flatMap(({text}, index) => text.startsWith('HTTP/1.1 200') ? [`c${index}`] : []);
	const ran = new Set(target.arrivals.map(({requestId}) => requestId));
	t.ok(refused.length >= 70);
	t.ok(served.length >= 50, String(served.length));
	t.notOk(refused.some(id => ran.has(id)));
	t.ok(served.every(id => ran.has(id)));
	const refusals = clients.map(({text}) => text).filter(text => text.startsWith('HTTP/1.1 503'));
	t.ok(refusals.every((text, index) => text.includes('"ran":"not run"') && text.toLowerCase().includes('retry-after: ') && text.includes(`X-Request-Id: ${refused[index]}\r\n`)));
	// The others were refused because their target held too much when all bodies ended at once.
	t.ok(refusals.filter(text => text.includes('"code":1030')).length >= 70);
	t.match(fleet.logged('caller refused')[0], {reason: 'memory', address: '127.0.0.1'});
	t.equal(Buffer.byteLength(target.arrivals.find(({requestId}) => requestId === served[0])!.body), bodyBytes);
});

// Guards against new callers that cannot connect beside connections on which nothing is sent.
test('LOST: when all connections are taken, one that is silent is closed for a new one', async t => {
	const {fleet, gateway, connect} = await start(t, {memoryMegabytes: 210, descriptors: 20});
	const silent = Array.from({length: 30}, () => connect(''));
	await fleet.until(() => silent.filter(({isClosed}) => isClosed).length >= 18);
	t.equal(await fleet.status(gateway, {path: '/bids/1', requestId: 'r1'}), 200);
	t.match(fleet.logged('caller closed')[0], {reason: 'connections', phase: 'silent'});
});
