/**
Plays the prompts of many teams through the queues of several gateways before engines
that prefill in order, without processes, network or a clock of its own.

Every random number comes from the seed, and the arrivals do not depend on how shares are
kept, so that ways to keep them are compared on the same load.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {EngineView} from '../../source/decisions/entry/prompts/engine-view.js';
import {latencyModel} from '../../source/decisions/entry/prompts/latency-model.js';
import {promptQueue} from '../../source/decisions/entry/prompts/prompt-queue.js';
import {retryAfter} from '../../source/decisions/entry/requests/retry-after.js';
import type {WaitingPrompt} from '../../source/decisions/entry/prompts/waiting-prompt.js';
import {SoakRandom} from '../soak/soak-random.js';
import {createShares} from './create-shares.js';
import {groupBy} from './group-by.js';
import type {ReplayRequest} from './replay-request.js';
import type {SharedUse} from './shared-use.js';

type Kind = {
	readonly name: string;
	readonly priority: number;
	readonly tokens: readonly [number, number];
	readonly targetMilliseconds: number;
	readonly patienceMilliseconds: number;
	readonly deadlineMilliseconds: number;
};

type ReplayOptions = {
	readonly seed: number;
	readonly shares: Parameters<typeof createShares>[0];
	readonly gateways: number;
	readonly engines: number;
	readonly milliseconds: number;
	readonly kinds: readonly Kind[];
	readonly teams: number;
	/** Arrivals per second of a kind at a time. */
	readonly rate: (kind: number, at: number) => number;
	/** Weight of a team at a time. */
	readonly weight: (team: number, at: number) => number;
	/** Gateway of a team's request: any, or one of the first few for each team. */
	readonly spread: 'even' | 'by team';
	/** Whether refused callers come back. */
	readonly isReturning: boolean;
};

const stepMilliseconds = 5;
const passMilliseconds = 10;
const firstEventMilliseconds = 190;
const decodeMilliseconds = 30;
/** Time for which the weights of teams are assumed to stay the same. */
const weightMilliseconds = 100;
/** Gateways through which the requests of one team come with the spread `by team`. */
const gatewaysEach = 2;

type Replayed = {readonly requests: readonly ReplayRequest[]; readonly busyShare: number; readonly idleWhileWaiting: number};

type Gateway = {readonly shares: SharedUse; readonly waiting: Set<WaitingPrompt>};

/** Draws all arrivals in advance, in order of time. */
const drawArrivals = ({seed, milliseconds, kinds, teams, rate, weight, spread, gateways}: ReplayOptions): readonly ReplayRequest[] => {
	const random = new SoakRandom(seed);
	const requests: ReplayRequest[] = [];
	let weights: readonly number[] = [];
	let sum = 0;
	for (let at = 0; at < milliseconds; at += stepMilliseconds) {
		if (at % weightMilliseconds === 0) {
			const time = at;
			weights = Array.from({length: teams}, (_, team) => weight(team, time));
			sum = weights.reduce((total, each) => total + each, 0);
		}

		for (const [index, kind] of kinds.entries()) {
			let expected = rate(index, at) * stepMilliseconds / 1000;
			while (random.chance(Math.min(1, expected))) {
				expected -= 1;
				let left = random.next() * sum;
				const team = Math.max(0, weights.findIndex(each => {
					left -= each;
					return left < 0;
				}));
				const [least, most] = kind.tokens;
				requests.push({
					id: `r${requests.length}`,
					team,
					kind: index,
					tokens: Math.round(least * ((most / least) ** random.next())),
					arrivedAt: at,
					deadlineAt: at + kind.deadlineMilliseconds,
					gateway: spread === 'even' ? Math.floor(random.next() * gateways) : (team + Math.floor(random.next() * gatewaysEach)) % gateways,
					refusals: [],
					servedAt: undefined,
				});
			}
		}
	}

	return requests;
};

/**
One replay; `run` plays it to its end.

@example
```
const {requests} = new FairnessReplay({seed: 1, shares: 'digests', ...load}).run();
```
*/
export class FairnessReplay {
	/** Prefill time of the requests of each kind that arrive in a second, on average, in engines. */
	static load(kinds: readonly Kind[], rate: (kind: number) => number): number {
		const samples = 200;
		return kinds.reduce((sum, {tokens: [least, most]}, kind) => {
			const mean = Array.from({length: samples}, (_, index) => latencyModel.prefill(least * ((most / least) ** ((index + 0.5) / samples)), 0)).reduce((total, each) => total + each, 0) / samples;
			return sum + (mean * rate(kind) / 1000);
		}, 0);
	}

	readonly #options: ReplayOptions;
	readonly #random: SoakRandom;
	readonly #gateways: readonly Gateway[];
	readonly #freeAt: number[];
	readonly #byPrompt = new Map<WaitingPrompt, ReplayRequest>();
	readonly #returns = new Map<number, ReplayRequest[]>();
	#busyMilliseconds = 0;
	#idleWhileWaiting = 0;

	constructor(options: ReplayOptions) {
		this.#options = options;
		this.#random = new SoakRandom(options.seed + 1000);
		this.#gateways = createShares(options.shares, options.gateways, options.engines).map(shares => ({shares, waiting: new Set()}));
		this.#freeAt = Array.from({length: options.engines}, () => 0);
	}

	/** Plays all arrivals, and what they leave behind. */
	run(): Replayed {
		const requests = drawArrivals(this.#options);
		const byTime = groupBy(requests, ({arrivedAt}) => arrivedAt);
		const longest = Math.max(...this.#options.kinds.map(({deadlineMilliseconds}) => deadlineMilliseconds));
		for (let now = 0; now < this.#options.milliseconds + longest; now += stepMilliseconds) {
			for (const request of [...byTime.get(now) ?? [], ...this.#returns.get(now) ?? []]) {
				this.#arrive(request, now);
			}

			this.#returns.delete(now);
			if (now % passMilliseconds === 0) {
				this.#pass(now);
			}
		}

		return {requests, busyShare: this.#busyMilliseconds / this.#options.milliseconds / this.#options.engines, idleWhileWaiting: this.#idleWhileWaiting};
	}

	/** Enqueues a request; one that comes back does so through any gateway. */
	#arrive(request: ReplayRequest, now: number): void {
		const {kinds, shares} = this.#options;
		const kind = kinds[request.kind]!;
		const gateway = this.#gateways[request.refusals.length === 0 ? request.gateway : Math.floor(this.#random.next() * this.#gateways.length)]!;
		const prompt: WaitingPrompt = {
			id: request.id,
			team: shares === 'none' ? undefined : `team-${request.team}`,
			teamPriority: 0,
			kind: kind.name,
			priority: kind.priority,
			dueAt: now + kind.targetMilliseconds,
			giveUpAt: Math.min(request.deadlineAt, now + kind.patienceMilliseconds),
			tokens: request.tokens,
			sharedParts: [],
			sharedKey: '',
			sharedTokens: 0,
			bodyBytes: 1000,
			avoid: new Set(),
			isInPlaceOnly: false,
		};
		this.#byPrompt.set(prompt, request);
		gateway.waiting.add(prompt);
	}

	/** One pass of each gateway over its queue; another one begins each time. */
	#pass(now: number): void {
		const {length} = this.#gateways;
		const first = Math.floor(this.#random.next() * length);
		for (let offset = 0; offset < length; offset++) {
			this.#process(this.#gateways[(first + offset) % length]!, now);
		}

		if (this.#gateways.some(({waiting}) => waiting.size > 0)) {
			this.#idleWhileWaiting += this.#freeAt.filter(freeAt => freeAt <= now).length * passMilliseconds;
		}
	}

	#process(gateway: Gateway, now: number): void {
		const {shares, waiting} = gateway;
		shares.tick(now);
		let order = promptQueue.order([...waiting], now, shares.ranks([...waiting], now));
		while (waiting.size > 0) {
			const context = this.#queueContext(now);
			const chosen = promptQueue.next(order, context, now);
			if (option.isNone(chosen)) {
				for (const refused of promptQueue.unservable(order, context, this.#gateways.length, now)) {
					this.#refuse(gateway, refused, now);
				}

				return;
			}

			const {prompt, placement} = chosen.value;
			order = promptQueue.without(order, prompt);
			waiting.delete(prompt);
			this.#place(prompt, Number(placement.engine.id), placement.readMilliseconds, now);
			shares.recordPlaced(chosen.value, placement.readMilliseconds, decodeMilliseconds, now);
		}
	}

	#place(prompt: WaitingPrompt, engine: number, milliseconds: number, now: number): void {
		const request = this.#byPrompt.get(prompt)!;
		this.#byPrompt.delete(prompt);
		const freeAt = Math.max(this.#freeAt[engine]!, now) + milliseconds;
		this.#freeAt[engine] = freeAt;
		this.#busyMilliseconds += freeAt <= this.#options.milliseconds ? milliseconds : 0;
		if (freeAt + firstEventMilliseconds <= prompt.giveUpAt) {
			request.servedAt = freeAt + firstEventMilliseconds;
		}
	}

	#refuse({shares, waiting}: Gateway, {prompt, ...hopeless}: ReturnType<typeof promptQueue.unservable>[number], now: number): void {
		const request = this.#byPrompt.get(prompt)!;
		this.#byPrompt.delete(prompt);
		waiting.delete(prompt);
		shares.recordRefused(prompt, now);
		const isSpread = prompt.team !== undefined;
		const seconds = retryAfter({
			wantedMilliseconds: shares.returnDelay(hopeless, now), remainingMilliseconds: request.deadlineAt - now, isSpread, random: () => this.#random.next(),
		});
		request.refusals.push(now);
		const returnsAt = Math.ceil((now + (seconds * 1000)) / stepMilliseconds) * stepMilliseconds;
		if (this.#options.isReturning && returnsAt < request.deadlineAt) {
			this.#returns.set(returnsAt, [...this.#returns.get(returnsAt) ?? [], request]);
		}
	}

	#queueContext(now: number): Parameters<typeof promptQueue.next>[1] {
		const common = {
			availabilityZone: 'a', slots: 64, isAvoided: false, failureShare: 0,
		};
		const engines: readonly EngineView[] = [
			...this.#freeAt.map((freeAt, index): EngineView => ({
				...common, id: String(index), role: 'prefill', attempts: 0, readMilliseconds: Math.max(0, freeAt - now),
			})),
			{
				...common, id: 'decode', role: 'decode', attempts: 60, readMilliseconds: 0,
			},
		];
		return {
			engines, availabilityZone: 'a', bytesPerToken: 1000, linkMegabitsPerSecond: 100_000, inPlaceEngines: new Set(), cachedTokens: () => 0,
		};
	}
}
