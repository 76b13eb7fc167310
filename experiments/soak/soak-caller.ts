/**
A caller of a soak: asks again and again, and keeps its connection until the gateway closes it.
*/
import http from 'node:http';
import {pause} from '../../source/shared/pause.js';
import type {SoakConfiguration} from './soak-configuration.js';
import type {SoakGateway} from './soak-gateway.js';
import type {SoakRandom} from './soak-random.js';
import type {SoakRecord} from './soak-record.js';

type Kind = Parameters<SoakRecord['replied']>[0]['kind'];

type SoakCallerOptions = {
	readonly name: string;
	readonly kind: Kind;
	readonly gateways: readonly SoakGateway[];
	readonly record: SoakRecord;
	readonly random: SoakRandom;
	readonly configuration: SoakConfiguration;
};

const paths = {
	bid: '/bids/1', price: '/prices/1', question: '/questions/1', dossier: '/dossiers/1', extra: '/extra/1',
} as const;
const promptHeaders = {
	bid: {}, price: {}, extra: {}, question: {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'}, dossier: {'x-model': 'm', 'x-token-count': '17000,50', 'x-prompt-prefix': 'cc:13300,dd:3700'},
} as const;
const leastPauseMilliseconds = 20;
const mostPauseMilliseconds = 120;
/** How often it goes to another gateway, and how often it begins to read late. */
const moveShare = 0.02;
const slowShare = 0.03;
const noGatewayMilliseconds = 200;

/**
One instance a caller.

@example
```
await new SoakCaller({name: 'caller-1', kind: 'bid', gateways, record, random}).run(() => isGoing);
```
*/
export class SoakCaller {
	#gateway: SoakGateway | undefined;
	#count = 0;
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});
	readonly #options: SoakCallerOptions;

	constructor(options: SoakCallerOptions) {
		this.#options = options;
	}

	/** Resolves once `isGoing` says no and the last answer has come. */
	async run(isGoing: () => boolean): Promise<void> {
		const {random} = this.#options;
		/* eslint-disable no-await-in-loop */
		while (isGoing()) {
			await pause(random.between(leastPauseMilliseconds, mostPauseMilliseconds));
			this.#chooseGateway();
			await (this.#gateway === undefined ? pause(noGatewayMilliseconds) : this.#ask(this.#gateway));
		}

		/* eslint-enable no-await-in-loop */
		this.#agent.destroy();
	}

	/** An open connection stays with its gateway until that is gone. */
	#chooseGateway(): void {
		const {gateways, random} = this.#options;
		if (this.#gateway?.isRunning === true && !random.chance(moveShare)) {
			return;
		}

		const ready = gateways.filter(({isReady}) => isReady);
		this.#gateway = ready.length === 0 ? undefined : random.pick(ready);
	}

	async #ask(gateway: SoakGateway): Promise<void> {
		const {name, kind, record, random, configuration} = this.#options;
		this.#count++;
		const requestId = `${name}-${this.#count}`;
		const {losses} = gateway;
		const sentAt = performance.now();
		const isSlow = random.chance(slowShare);
		const chunks: string[] = [];
		return new Promise(resolve => {
			const settle = (status: number, isWhole: boolean): void => {
				if (!isWhole) {
					this.#gateway = undefined;
				}

				// The end of a process is noticed a moment after the end of its connections.
				setTimeout(() => {
					if (kind === 'extra' && isWhole && configuration.isFalse(status, sentAt)) {
						record.report(`CONFIG: ${requestId} got ${status}, which only an older version allows`);
					}

					record.replied({
						requestId, kind, status, isWhole, body: chunks.join(''), isGatewayGone: gateway.losses > losses,
					});
					resolve();
				}, isWhole ? 0 : 200);
			};

			const request = http.request({
				host: '127.0.0.1', port: gateway.ports.callers, method: 'POST', path: paths[kind], agent: this.#agent, headers: {
					host: 'a.example', 'x-request-id': requestId, 'x-deadline-ms': '4000', ...promptHeaders[kind],
				},
			}, response => {
				response.setEncoding('latin1');
				response.on('data', (chunk: string) => {
					chunks.push(chunk);
				});
				response.on('error', () => {
					// The close event follows and tells that the answer is not whole.
				});
				response.on('close', () => {
					settle(response.statusCode ?? 0, response.complete);
				});
				if (isSlow) {
					response.pause();
					setTimeout(() => {
						response.resume();
					}, 300);
				}
			});
			let isAnswered = false;
			request.on('response', () => {
				isAnswered = true;
			});
			request.on('error', () => {
				if (!isAnswered) {
					settle(0, false);
				}
			});
			request.end();
		});
	}
}
