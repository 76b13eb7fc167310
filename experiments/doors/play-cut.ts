/**
Plays one cut: a faulty target sends ten answers without end, cut like this, to a gateway that runs
as a process of its own, while callers place bids at a sound target of another service.
*/
import fs from 'node:fs';
import http from 'node:http';
import type net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {pause} from '../../source/shared/pause.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';
import {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import {RawTargetStandIn} from '../../stand-ins/raw-target-stand-in.js';
import {percentile} from '../percentile.js';
import {SoakGateway} from '../soak/soak-gateway.js';
import {SoakRecord} from '../soak/soak-record.js';
import type {cuts} from './cuts.js';

type Cut = (typeof cuts)[number];

type CutResult = {
	/** Bids that were sent, and those that got a whole 200. */
	readonly bids: number;
	readonly answered: number;
	/** Answers without end that the faulty target began. */
	readonly begun: number;
	readonly megabytesPerSecond: number;
	/** Waiting time of the bids in milliseconds. */
	readonly p99: number;
	readonly longest: number;
	/** Largest resident memory of the gateway in megabytes; 0 where the system does not say. */
	readonly memoryMegabytes: number;
	/** What may not happen and did, such as a process that ends by itself. */
	readonly problems: readonly string[];
};

type PlayOptions = {readonly seconds: number; readonly hasTrouble?: boolean; readonly bidTimeoutMilliseconds?: number};

const endlessAnswers = 10;
const bidders = 20;
const bidPauseMilliseconds = 450;
const bidRunMilliseconds = 100;
const settleMilliseconds = 1000;
const bytesPerMillisecond = 8000;
const writeIntervalMilliseconds = 5;
/** Bytes that may wait for a gateway that does not read. */
const maxUnsentBytes = 1_000_000;
const memoryIntervalMilliseconds = 100;
const kilobytesPerMegabyte = 1024;
const bytesPerMegabyte = 1_000_000;

const contentTypes = {engine: 'text/event-stream', 'cache of an engine': 'application/json', 'plain target': 'text/plain'} as const;
const prompt = {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'};

const configuration = (bidTimeoutMilliseconds: number): string => JSON.stringify({
	version: 3,
	routes: [
		{
			name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor', timeoutMs: bidTimeoutMilliseconds,
		},
		{
			name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'prices', timeoutMs: 6000,
		},
		{
			name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300, timeoutMs: 6000,
		},
	].map(route => ({
		host: 'a.example', targetLatencyMs: 800, priority: 0, maxAttempts: 1, ...route,
	})),
	services: [
		{name: 'floor', healthPath: '/healthz', maxConnections: 200},
		{name: 'prices', healthPath: '/healthz', maxConnections: 200},
		{
			name: 'models', healthPath: '/healthz', maxConnections: 200, engine: {
				slots: 64, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
			},
		},
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 5000, idleTimeoutMs: 20_000,
	},
});

/** Writes a block again and again at a fixed rate, as far as the other side reads it. */
const writeWithoutEnd = (socket: net.Socket, block: Uint8Array, onWritten: (bytes: number) => void): void => {
	const startedAt = performance.now();
	let written = 0;
	const timer = setInterval(() => {
		const due = (performance.now() - startedAt) * bytesPerMillisecond;
		while (written < due && socket.writableLength < maxUnsentBytes) {
			written += block.length;
			onWritten(block.length);
			socket.write(block);
		}
	}, writeIntervalMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
};

const readMemoryMegabytes = (processId: number | undefined): number => {
	try {
		const resident = /VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1];
		return Number(resident ?? 0) / kilobytesPerMegabyte;
	} catch {
		// The system has no such file, or the process has ended, which the gateway's record reports.
		return 0;
	}
};

type Question = {readonly path: string; readonly requestId: string; readonly headers?: http.OutgoingHttpHeaders; readonly agent?: http.Agent};

/** Asks once; the body is thrown away. */
const ask = async (port: number, {path: target, requestId, headers = {}, agent}: Question): Promise<{readonly isAnswered: boolean; readonly milliseconds: number}> => {
	const sentAt = performance.now();
	return new Promise(resolve => {
		const settle = (isAnswered: boolean): void => {
			resolve({isAnswered, milliseconds: performance.now() - sentAt});
		};

		const request = http.request({
			host: '127.0.0.1', port, method: 'POST', path: target, agent, headers: {
				host: 'a.example', 'x-request-id': requestId, 'x-deadline-ms': '6000', 'content-length': '0', ...headers,
			},
		}, response => {
			response.resume();
			response.on('error', () => {
				// The close event follows and tells that the answer is not whole.
			});
			response.on('close', () => {
				settle(response.statusCode === 200 && response.complete);
			});
		});
		request.on('error', () => {
			settle(false);
		});
		request.end();
	});
};

const bidRepeatedly = async (port: number, name: string, isGoing: () => boolean): Promise<ReadonlyArray<Awaited<ReturnType<typeof ask>>>> => {
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	const replies: Array<Awaited<ReturnType<typeof ask>>> = [];
	/* eslint-disable no-await-in-loop */
	for (let count = 1; isGoing(); count++) {
		await pause(bidPauseMilliseconds * (0.5 + Math.random()));
		replies.push(await ask(port, {path: '/bids/1', requestId: `${name}-${count}`, agent}));
	}

	/* eslint-enable no-await-in-loop */
	agent.destroy();
	return replies;
};

/**
Resolves with what the callers of the sound target saw.

@example
```
const {bids, answered, problems} = await playCut(cuts[0], {seconds: 2});
```
*/
export const playCut = async (cut: Cut, {seconds, hasTrouble = true, bidTimeoutMilliseconds = 3000}: PlayOptions): Promise<CutResult> => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'doors-'));
	const record = new SoakRecord();
	const store = new PlatformStoreStandIn();
	await store.start();
	store.put('op/config', configuration(bidTimeoutMilliseconds));
	let sentBytes = 0;
	let begun = 0;
	const answerWithoutEnd: RawTargetStandIn['answer'] = (socket, {requestId}) => {
		begun++;
		const type = contentTypes[cut.from];
		socket.write(`HTTP/1.1 ${cut.status}\r\nX-Request-Id: ${requestId}\r\nX-Response-Signature: proof\r\nContent-Type: ${type}\r\nTransfer-Encoding: chunked\r\n\r\n`);
		writeWithoutEnd(socket, cut.block, bytes => {
			sentBytes += bytes;
		});
	};

	const faulty = Array.from({length: cut.from === 'cache of an engine' ? endlessAnswers : 1}, (_, index) => new RawTargetStandIn(`faulty-${index}`, answerWithoutEnd));
	for (const target of faulty.filter(() => cut.from === 'cache of an engine' && hasTrouble)) {
		target.cacheAnswer = answerWithoutEnd;
	}

	const sound = new PlatformTargetStandIn('sound');
	sound.answer = (response, {requestId}) => {
		setTimeout(() => {
			response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof'}).end('done');
		}, bidRunMilliseconds);
	};

	await Promise.all([...faulty, sound].map(async target => target.start()));
	for (const target of faulty) {
		store.put(`servers/${target.id}`, target.entry(cut.from === 'plain target' ? 'prices' : 'models', {slots: 64, ...cut.from === 'plain target' ? {} : {phase: 'decode'}}));
	}

	store.put('servers/sound', sound.entry('floor', {slots: 64}));
	const gateway = await SoakGateway.create({
		name: 'gateway-1', storeAddress: store.address, seeds: () => [], folder, record,
	});
	gateway.start();
	while (!gateway.isReady) {
		await pause(50); // eslint-disable-line no-await-in-loop
	}

	await pause(settleMilliseconds);
	let isGoing = true;
	let memoryMegabytes = 0;
	const memoryTimer = setInterval(() => {
		memoryMegabytes = Math.max(memoryMegabytes, readMemoryMegabytes(gateway.processId));
	}, memoryIntervalMilliseconds);
	const {callers: port} = gateway.ports;
	const bids = Promise.all(Array.from({length: bidders}, async (_, index) => bidRepeatedly(port, `bid-${index}`, () => isGoing)));
	const startedAt = performance.now();
	const question = cut.from === 'engine' ? {path: '/dossiers/1', headers: prompt} : {path: '/prices/1'};
	const endless = Array.from({length: hasTrouble && cut.from !== 'cache of an engine' ? endlessAnswers : 0}, async (_, index) => ask(port, {...question, requestId: `endless-${index}`}));
	await pause(seconds * 1000);
	isGoing = false;
	const megabytesPerSecond = sentBytes / bytesPerMegabyte / ((performance.now() - startedAt) / 1000);
	const repliesOfBidders = await bids;
	const replies = repliesOfBidders.flat();
	clearInterval(memoryTimer);
	const problems = record.problems();
	gateway.end();
	for (const target of [...faulty, sound]) {
		target.stop();
	}

	await Promise.all(endless);
	store.stop();
	const waits = replies.map(({milliseconds}) => milliseconds);
	return {
		bids: replies.length,
		answered: replies.filter(({isAnswered}) => isAnswered).length,
		begun,
		megabytesPerSecond,
		p99: percentile(waits, 99),
		longest: Math.max(...waits),
		memoryMegabytes,
		problems,
	};
};
