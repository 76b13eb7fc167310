/**
`npm run measure -- hop`: what the way through gateway and sidecar adds to a call.

Direct calls and calls through the system alternate in one run, so that noise of
the machine falls on both alike.
*/
import {Agent} from 'undici';
import {Fleet} from './fleet.js';
import {percentile} from './percentile.js';

const warmUpCalls = 200;
const measuredCalls = 2000;

const document = `
[[services]]
name = "floor"
kind = "plain"
`;

/**
Prints percentiles of both ways and of their paired difference, in milliseconds.

@example
```
await measureHop();
```
*/
export const measureHop = async (): Promise<void> => {
	const fleet = new Fleet({
		basePort: 28_400, gatewayZones: ['a'], services: [{
			name: 'floor', kind: 'plain', zones: ['a'], options: {callMilliseconds: 0},
		}], document,
	});
	const agent = new Agent();
	const time = async (origin: string, path: string): Promise<number> => {
		const startedAt = performance.now();
		const {body} = await agent.request({origin, path, method: 'GET'});
		await body.dump();
		return performance.now() - startedAt;
	};

	try {
		await fleet.start();
		const target = `http://127.0.0.1:${fleet.targets.get('floor-1')?.targetPort ?? 0}`;
		const pairs: Array<readonly [number, number]> = [];
		for (let call = 0; call < warmUpCalls + measuredCalls; call++) {
			const direct = await time(target, `/prices/${call}`); // eslint-disable-line no-await-in-loop
			const through = await time(fleet.callers('gateway-1'), `/services/floor/prices/${call}`); // eslint-disable-line no-await-in-loop
			if (call >= warmUpCalls) {
				pairs.push([direct, through]);
			}
		}

		const series = [
			['direct', pairs.map(([direct]) => direct)],
			['through gateway and sidecar', pairs.map(([, through]) => through)],
			['difference', pairs.map(([direct, through]) => through - direct)],
		] as const;
		console.log(`${measuredCalls} alternating calls`);
		console.log('way | 50 in 100 ms | 95 in 100 ms');
		for (const [label, values] of series) {
			console.log(`${label} | ${percentile(values, 50)} | ${percentile(values, 95)}`);
		}
	} finally {
		await fleet.stop();
		await agent.close();
	}
};
