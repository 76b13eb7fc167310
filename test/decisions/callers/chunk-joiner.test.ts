/**
Chunked bodies, sound and malformed, read by Node's HTTP parser with and without the joining of small chunks.
*/
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import {ChunkJoiner} from '../../../source/decisions/callers/chunk-joiner.js';

const seed = Number(process.env.SEED ?? 47);
const numberRuns = Number(process.env.RUNS ?? 150);
const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

const cutAt = (text: string, places: readonly number[]): readonly Buffer[] => { // eslint-disable-line @typescript-eslint/no-restricted-types
	const cuts = [...new Set([0, ...places.map(place => Math.min(place, text.length)), text.length])].toSorted((one, other) => one - other);
	return cuts.slice(1).map((place, index) => Buffer.from(text.slice(cuts[index], place), 'latin1'));
};

const joinAll = (pieces: readonly Uint8Array[]): Uint8Array => {
	const joiner = new ChunkJoiner();
	joiner.begin();
	return Buffer.concat(pieces.map(piece => joiner.join(piece)));
};

/** Chunks as callers may write them, with errors. */
const wire = fc.array(fc.oneof(
	fc.string({minLength: 1, maxLength: 3}).map(text => Buffer.from(text, 'latin1').toString('latin1')).map(text => `${text.length.toString(16)}\r\n${text}\r\n`),
	fc.integer({min: 1, max: 300}).map(length => `${length.toString(16)}\r\n${'y'.repeat(length)}\r\n`),
	fc.constantFrom('1\r\nx\r\n', '1\r\n\n\r\n', '01\r\nx\r\n', 'A\r\n0123456789\r\n', '1;a=b\r\nx\r\n', '1;a="b"\r\nx\r\n', '001\r\nx\r\n', '2\r\n\r\n\r\n'),
	fc.constantFrom('1\nx\n', '1 \r\nx\r\n', '1\r\nxy\r\n', 'g\r\nx\r\n', '1\r\nx', '\r\n', '-1\r\nx\r\n', '1\rx\r\n', '0\r\n\r\n'),
), {maxLength: 30}).map(chunks => `${chunks.join('')}0\r\n\r\n`);
const soundWire = fc.array(fc.integer({min: 1, max: 300}), {maxLength: 60}).map(lengths => `${lengths.map(length => `${length.toString(16)}\r\n${'z'.repeat(length)}\r\n`).join('')}0\r\n\r\n`);

// Guards against a body, or the end of one, that is read in another way than the parser alone reads it.
test('MIXED: the parser reads the same bodies with small chunks joined, and refuses the same', async t => {
	const bodies: string[] = [];
	const server = http.createServer((request, response) => {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('error', () => undefined);
		request.on('end', () => {
			bodies.push(Buffer.concat(chunks).toString('latin1'));
			response.end();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const read = async (bytes: Uint8Array): Promise<{readonly bodies: readonly string[]; readonly statuses: readonly string[]}> => {
		bodies.length = 0;
		const text = await new Promise<string>(resolve => {
			let answer = '';
			const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
			socket.setEncoding('latin1');
			socket.on('data', data => {
				answer += String(data);
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				resolve(answer);
			});
			socket.write(head);
			socket.end(bytes);
		});
		return {bodies: [...bodies], statuses: text.match(/HTTP\/1\.1 \d+/g) ?? []};
	};

	await fc.assert(fc.asyncProperty(fc.oneof(wire, soundWire), fc.array(fc.nat(2000), {maxLength: 6}), async (text, places) => {
		const plain = await read(Buffer.from(text, 'latin1'));
		const joined = await read(joinAll(cutAt(text, places)));
		t.strictSame(joined, plain, JSON.stringify({text, places}));
		return JSON.stringify(joined) === JSON.stringify(plain);
	}), {seed, numRuns: numberRuns});
});

// Guards against a call of the parser for each byte of a body.
test('a body in chunks of one byte becomes few chunks', t => {
	const text = Buffer.from(joinAll(cutAt(`${'1\r\nx\r\n'.repeat(10_000)}0\r\n\r\n`, [4096, 8192, 12_288, 30_000, 59_999]))).toString('latin1');
	t.ok(text.length < 10_300, String(text.length));
	t.equal(text.replaceAll(/[^x]/g, '').length, 10_000);
	t.end();
});
