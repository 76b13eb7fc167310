/**
`npm run measure -- slopes`: what a request, a token, a link and a target cost.
*/
import {request} from 'undici';
import type {GatewayStatus} from '../source/gateway/gateway-status.js';
import {pause} from '../source/shared/pause.js';
import {makeCall} from './call.js';
import {fitLine} from './fit-line.js';
import {Fleet} from './fleet.js';

const mebibyte = 1_048_576;
const settleMilliseconds = 4000;
const idleMilliseconds = 10_000;
const loadMilliseconds = 6000;

const document = `
[[models]]
name = "standard"
version = "1"

[[services]]
name = "models"
kind = "model"
model = "standard"

[[services]]
name = "floor"
kind = "plain"
`;

const statusOf = async (fleet: Fleet): Promise<GatewayStatus> => {
	const {body} = await request(`${fleet.operators('gateway-1')}/status`);
	return await body.json() as GatewayStatus;
};

const bytesOf = ({counts}: GatewayStatus): number => (counts['link.bytes.sent'] ?? 0) + (counts['link.bytes.received'] ?? 0);

const print = (label: string, unit: string, points: ReadonlyArray<readonly [number, number]>): void => {
	const {intercept, slope, explained} = fitLine(points);
	console.log(`${label} | ${points.map(([x, y]) => `${x}: ${y.toFixed(3)}`).join(', ')} | ${intercept.toFixed(4)} + ${slope.toPrecision(4)} each | ${explained.toFixed(3)} | ${unit}`);
};

/** Idle cost by the number of targets, all linked by one gateway. */
const measureIdle = async (): Promise<void> => {
	const rows: Array<{readonly targets: number; readonly memory: number; readonly processor: number; readonly bytes: number; readonly sidecarMemory: number; readonly sidecarProcessor: number}> = [];
	for (const targets of [2, 8, 16, 32]) {
		const fleet = new Fleet({
			basePort: 28_000, gatewayZones: ['a'], services: [{name: 'floor', kind: 'plain', zones: Array.from({length: targets}, () => 'a')}], document,
		});
		try {
			await fleet.start(); // eslint-disable-line no-await-in-loop
			await pause(settleMilliseconds); // eslint-disable-line no-await-in-loop
			const gateway = fleet.processes.get('gateway-1')!;
			const sidecar = fleet.processes.get('floor-1-sidecar')!;
			const before = {processor: gateway.processorMilliseconds, sidecar: sidecar.processorMilliseconds, bytes: bytesOf(await statusOf(fleet))}; // eslint-disable-line no-await-in-loop
			await pause(idleMilliseconds); // eslint-disable-line no-await-in-loop
			const seconds = idleMilliseconds / 1000;
			rows.push({
				targets,
				memory: gateway.residentBytes / mebibyte,
				processor: (gateway.processorMilliseconds - before.processor) / seconds,
				bytes: (bytesOf(await statusOf(fleet)) - before.bytes) / seconds, // eslint-disable-line no-await-in-loop
				sidecarMemory: sidecar.residentBytes / mebibyte,
				sidecarProcessor: (sidecar.processorMilliseconds - before.sidecar) / seconds,
			});
		} finally {
			await fleet.stop(); // eslint-disable-line no-await-in-loop
		}
	}

	print('gateway memory by idle links', 'MiB', rows.map(({targets, memory}) => [targets, memory]));
	print('gateway processor by idle links', 'ms of a core a second', rows.map(({targets, processor}) => [targets, processor]));
	print('gateway link bytes by idle links', 'bytes a second', rows.map(({targets, bytes}) => [targets, bytes]));
	print('sidecar memory, one link', 'MiB', rows.map(({targets, sidecarMemory}) => [targets, sidecarMemory]));
	print('sidecar processor, one link', 'ms of a core a second', rows.map(({targets, sidecarProcessor}) => [targets, sidecarProcessor]));
};

/** Processor time by the rate of requests, for short and long answers. */
const measureLoad = async (): Promise<void> => {
	const fleet = new Fleet({
		basePort: 28_800, gatewayZones: ['a'], services: [{
			name: 'engine', service: 'models', kind: 'engine', zones: ['a', 'a', 'a', 'a'],
		}], document,
	});
	try {
		await fleet.start();
		for (const outputTokens of [2, 40]) {
			const rows: Array<{readonly rate: number; readonly gateway: number; readonly sidecars: number}> = [];
			for (const rate of [10, 20, 40, 60]) {
				rows.push(await measureRate(fleet, rate, outputTokens)); // eslint-disable-line no-await-in-loop
			}

			print(`gateway processor by requests a second of ${outputTokens} tokens`, 'ms of a core a second', rows.map(({rate, gateway}) => [rate, gateway]));
			print(`sidecars' processor by requests a second of ${outputTokens} tokens`, 'ms of a core a second', rows.map(({rate, sidecars}) => [rate, sidecars]));
		}

		const gateway = fleet.processes.get('gateway-1')!;
		console.log(`gateway memory after load | ${(gateway.residentBytes / mebibyte).toFixed(1)} MiB`);
		const sidecar = fleet.processes.get('engine-1-sidecar')!;
		console.log(`sidecar memory after load | ${(sidecar.residentBytes / mebibyte).toFixed(1)} MiB`);
	} finally {
		await fleet.stop();
	}
};

const measureRate = async (fleet: Fleet, rate: number, outputTokens: number) => {
	const gateway = fleet.processes.get('gateway-1')!;
	const sidecars = [1, 2, 3, 4].map(index => fleet.processes.get(`engine-${index}-sidecar`)!);
	const sum = (): number => sidecars.reduce((total, {processorMilliseconds}) => total + processorMilliseconds, 0);
	const before = {gateway: gateway.processorMilliseconds, sidecars: sum(), at: performance.now()};
	const calls: Array<Promise<unknown>> = [];
	for (let sent = 0; sent < rate * loadMilliseconds / 1000; sent++) {
		calls.push(makeCall(fleet.callers('gateway-1'), {
			kind: 'model', label: 'slope', prompt: `request ${sent} of ${rate}`, outputTokens, model: 'standard', organisation: 'a',
		}));
		await pause(1000 / rate); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(calls);
	const seconds = (performance.now() - before.at) / 1000;
	return {rate: calls.length / seconds, gateway: (gateway.processorMilliseconds - before.gateway) / seconds, sidecars: (sum() - before.sidecars) / seconds};
};

/**
Prints each series with its fitted line.

@example
```
await measureSlopes();
```
*/
export const measureSlopes = async (): Promise<void> => {
	console.log('series | points | line | explained | unit');
	await measureIdle();
	await measureLoad();
};
