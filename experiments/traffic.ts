/**
Mixed traffic as the two deployments have it.
*/
import {pause} from '../source/shared/pause.js';
import type {CallOutcome} from './call-outcome.js';
import {makeCall} from './call.js';

type Kind = 'dossier' | 'question' | 'bid' | 'price';
type TrafficOptions = {
	readonly gateways: readonly string[];
	readonly model: string;
	readonly plainService: string;
	/** Requests a second of each kind. */
	readonly rates: Readonly<Record<Kind, number>>;
	readonly organisations: number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	readonly dossierTokens?: number;
	/** Share of bids that carry an idempotency key. */
	readonly keyedShare?: number;
};

const sliceMilliseconds = 20;
const repeatMilliseconds = 500;
const millisecondsPerSecond = 1000;
const charactersPerToken = 4;
const word = 'inspected flitch of quarter-sawn oak, grade A, moisture 9%. ';

const text = (start: string, tokens: number): string => (start + word.repeat(Math.ceil(tokens * charactersPerToken / word.length))).slice(0, Math.max(start.length, tokens * charactersPerToken));

/**
Sends requests at given rates and collects every outcome.

@example
```
const traffic = new Traffic(options);
await traffic.run(15_000);
const outcomes = await traffic.finished();
```
*/
export class Traffic {
	readonly outcomes: CallOutcome[] = [];
	sent = 0;
	rates: Readonly<Record<Kind, number>>;
	readonly #options: TrafficOptions;
	readonly #pending = new Set<Promise<void>>();
	#number = 0;
	#stopped = false;

	constructor(options: TrafficOptions) {
		this.#options = options;
		this.rates = options.rates;
	}

	/** Sends for `milliseconds`, or until stopped. */
	async run(milliseconds: number): Promise<void> {
		const until = performance.now() + milliseconds;
		const due: Record<Kind, number> = {
			dossier: 0, question: 0, bid: 0, price: 0,
		};
		let last = performance.now();
		while (performance.now() < until && !this.#stopped) {
			await pause(sliceMilliseconds); // eslint-disable-line no-await-in-loop
			const now = performance.now();
			for (const kind of Object.keys(due) as Kind[]) {
				due[kind] += this.rates[kind] * (now - last) / millisecondsPerSecond;
				for (; due[kind] >= 1; due[kind] -= 1) {
					this.#send(kind);
				}
			}

			last = now;
		}
	}

	stop(): void {
		this.#stopped = true;
	}

	/** Waits for every call's end. */
	async finished(): Promise<readonly CallOutcome[]> {
		await Promise.all(this.#pending);
		return this.outcomes;
	}

	#send(kind: Kind): void {
		this.sent += 1;
		const {gateways, random} = this.#options;
		const gateway = gateways[Math.floor(random() * gateways.length)] ?? '';
		const call = this.#follow(gateway, kind);
		this.#pending.add(call);
	}

	async #follow(gateway: string, kind: Kind): Promise<void> {
		const call = this.#call(kind);
		const outcome = await makeCall(gateway, call);
		this.outcomes.push(outcome);
		// A buyer whose connection broke asks again with the same key, at whatever entry answers.
		if (outcome.ending === 'connection lost' && call.kind === 'plain' && call.idempotencyKey !== '') {
			await pause(repeatMilliseconds);
			this.sent += 1;
			this.outcomes.push(await makeCall(this.#options.gateways.find(other => other !== gateway) ?? gateway, call));
		}
	}

	#call(kind: Kind): Parameters<typeof makeCall>[1] {
		const {model, plainService, organisations, random, dossierTokens = 3000, keyedShare = 0.5} = this.#options;
		this.#number += 1;
		const number = this.#number;
		const organisation = `team-${Math.floor(random() * organisations)}`;
		switch (kind) {
			case 'dossier': {
				// Dossiers of one lot share their first pages.
				const lot = Math.floor(random() * 40);
				return {
					kind: 'model', label: kind, model, organisation, outputTokens: 24, prompt: `${text(`Dossier of lot ${lot}: `, dossierTokens)} Question ${number}?`,
				};
			}

			case 'question': {
				return {
					kind: 'model', label: kind, model, organisation, outputTokens: 40, prompt: text(`Question ${number} of a leaf: `, 60),
				};
			}

			case 'bid': {
				return {
					kind: 'plain', label: kind, service: plainService, method: 'POST', path: `/bids/${number}`, body: `{"lot":${number}}`, idempotencyKey: random() < keyedShare ? `bid-${number}` : '',
				};
			}

			case 'price': {
				return {
					kind: 'plain', label: kind, service: plainService, method: 'GET', path: `/prices/${number}`, body: '', idempotencyKey: '',
				};
			}
		}
	}
}
