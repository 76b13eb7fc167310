/**
The configurations of a soak: versions that come and go with one route, and what they promise.
*/
import type {SoakCalm} from './soak-calm.js';

const timeoutMilliseconds = 3000;
/** Time within which a version applies at each gateway in calm. */
const applyMilliseconds = 2000;

const routes = [
	{
		name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
	},
	{
		name: 'prices', pathPrefix: '/prices/', routeType: 'idempotent', service: 'floor', maxAttempts: 3,
	},
	{
		name: 'questions', pathPrefix: '/questions/', routeType: 'streaming', service: 'models', resumable: true, maxAttempts: 2, sessionAffinity: true, itlTargetMs: 300,
	},
	{
		name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300,
	},
];
/** Is there in each second version only. */
const extraRoute = {
	name: 'extra', pathPrefix: '/extra/', routeType: 'idempotent', service: 'floor', maxAttempts: 3,
};

/**
Writes versions, and judges answers on the route that comes and goes.

@example
```
configuration.write(version => store.put('op/config', version));
configuration.isFalse(404, sentAt);
```
*/
export class SoakConfiguration {
	#count = 0;
	#writtenAt = Number.NEGATIVE_INFINITY;
	readonly #calm: SoakCalm;

	constructor(calm: SoakCalm) {
		this.#calm = calm;
	}

	/** Writes the next version; versions increase in uneven steps. */
	write(put: (text: string) => void): void {
		this.#count++;
		put(JSON.stringify({
			version: (this.#count * 3) + (this.#count % 2),
			routes: [...routes, ...this.#hasExtra ? [extraRoute] : []].map(route => ({
				host: 'a.example', timeoutMs: timeoutMilliseconds, targetLatencyMs: 800, priority: 0, maxAttempts: 1, ...route,
			})),
			services: [
				{name: 'floor', healthPath: '/healthz', maxConnections: 400},
				{
					name: 'models', healthPath: '/healthz', maxConnections: 400, engine: {
						slots: 16, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
					},
				},
			],
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 5000, idleTimeoutMs: 20_000,
			},
		}));
		this.#writtenAt = performance.now();
	}

	/** True when an answer on the extra route, sent at that moment and received now, says what only an older version allows. */
	isFalse(status: number, sentAt: number): boolean {
		const isSettled = sentAt > this.#writtenAt + applyMilliseconds && this.#calm.isCalmSince(this.#writtenAt);
		return isSettled && (status === 404) === this.#hasExtra;
	}

	get #hasExtra(): boolean {
		return this.#count % 2 === 0;
	}
}
