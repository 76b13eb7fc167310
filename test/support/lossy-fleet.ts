/**
One gateway's request decisions and three sidecars' attempt tables, joined by
links with faults, on a virtual clock. It keeps a ledger of what really ran.
*/
import assert from 'node:assert/strict';
import * as option from 'fp-ts/lib/Option.js';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {AttemptEvent} from '../../source/decisions/attempts/attempt-event.js';
import {AttemptTable} from '../../source/decisions/attempts/attempt-table.js';
import {decideRequest} from '../../source/decisions/request/decide-request.js';
import type {RequestEvent} from '../../source/decisions/request/request-event.js';
import type {RequestState} from '../../source/decisions/request/request-state.js';
import {startRequest} from '../../source/decisions/request/start-request.js';
import type {AttemptMessage, Importance, Message} from '../../source/generated/messages.js';
import {resultCode} from '../../source/generated/result-codes.js';
import {describeCode} from '../../source/shared/describe-code.js';

type Step =
	| {readonly kind: 'request'; readonly repeatable: boolean; readonly tokens: number; readonly importance: Importance}
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'silence' | 'cut' | 'restart sidecar' | 'kill target' | 'leave'; readonly target: number}
	| {readonly kind: 'unreachable'; readonly target: number; readonly milliseconds: number};

type Caller = {
	state: RequestState;
	readonly tokens: number;
	received: string;
	ending: string | undefined;
	/** Executions of the request that reached a target. */
	executions: number;
	finals: number;
};

type SentAttempt = {
	readonly requestId: string;
	readonly target: number;
	readonly message: AttemptMessage;
	readonly startedAt: number;
	/** Incarnation of the sidecar that the frame was handed to. */
	sentTo: number | undefined;
};

type Sidecar = {
	table: AttemptTable;
	incarnation: number;
	/** The link in use; a silent one swallows everything. */
	link: {readonly id: string; silent: boolean; open: boolean} | undefined;
	unreachableUntil: number;
	lastHeardAt: number;
	running: Map<string, {made: number; readonly total: number; readonly base: number}>;
};

const capacity = {
	kind: 'engine', totalPieces: 6, tokensPerPiece: 2000, mostRunning: 4, prefillTokensPerSecond: 10_000, decodeTokensPerSecond: 100, tokenMilliseconds: 40,
} as const;

const silentMilliseconds = 2500;
const lostMilliseconds = 6000;
const rememberedMilliseconds = 60_000;
const tokenMilliseconds = 40;
const slotMilliseconds = 20;
const deadlineMilliseconds = 20_000;

const tokenOf = (requestId: string, index: number): string => `${requestId}.${index};`;

/**
A small fleet for randomised runs.

@example
```
const fleet = new LossyFleet(seed);
fleet.step({kind: 'cut', target: 0});
fleet.settle();
fleet.check();
```
*/
export class LossyFleet {
	#now = 0;
	#identifier = 0;
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	readonly #callers = new Map<string, Caller>();
	readonly #attempts = new Map<string, SentAttempt>();
	readonly #sidecars: Sidecar[] = Array.from({length: 3}, () => ({
		table: new AttemptTable(capacity), incarnation: 0, link: undefined, unreachableUntil: 0, lastHeardAt: 0, running: new Map<string, {made: number; total: number; base: number}>(),
	}));

	/** Frames in flight, each way, with their time of arrival. */
	#flights: Array<{readonly at: number; readonly link: string; readonly deliver: () => void}> = [];

	constructor(seed: number) {
		this.#random = xoroshiro128plus(seed);
	}

	step(step: Step): void {
		switch (step.kind) {
			case 'request': {
				this.#request(step.repeatable, step.tokens, step.importance);
				break;
			}

			case 'wait': {
				this.#advance(step.milliseconds);
				break;
			}

			case 'silence': {
				const {link} = this.#sidecars[step.target]!;
				if (link !== undefined) {
					link.silent = true;
				}

				break;
			}

			case 'cut': {
				this.#closeLink(this.#sidecars[step.target]!);
				break;
			}

			case 'unreachable': {
				const sidecar = this.#sidecars[step.target]!;
				sidecar.unreachableUntil = this.#now + step.milliseconds;
				this.#closeLink(sidecar);
				break;
			}

			case 'restart sidecar': {
				this.#restart(this.#sidecars[step.target]!);
				break;
			}

			case 'kill target': {
				this.#killTarget(step.target);
				break;
			}

			case 'leave': {
				this.#dispatch(step.target, {kind: 'leave'});
				break;
			}
		}
	}

	/** Runs on until every request must have its final answer. */
	settle(): void {
		this.#advance(deadlineMilliseconds + 10_000);
	}

	/** Throws unless every promise held. */
	check(): void {
		for (const [requestId, caller] of this.#callers) {
			const {state, received, ending, executions, finals, tokens} = caller;
			const whole = Array.from({length: tokens}, (_, index) => tokenOf(requestId, index)).join('');
			assert.equal(state.phase, 'done', `${requestId} has no final answer`);
			assert.equal(finals, 1, `${requestId} has ${finals} final answers`);
			assert.ok(whole.startsWith(received), `${requestId} received ${received}`);
			if (ending === 'complete') {
				assert.equal(received, whole, `${requestId} was completed with a part of its answer`);
			}

			if (ending === 'not run') {
				assert.equal(executions, 0, `${requestId} was told "not run" and ran ${executions} times`);
				assert.equal(received, '');
			}

			if (!state.repeatable) {
				assert.ok(executions <= 1, `${requestId} may not be repeated and ran ${executions} times`);
			}
		}
	}

	/** How often each ending was seen. */
	get endings(): ReadonlyMap<string, number> {
		const endings = new Map<string, number>();
		for (const {ending} of this.#callers.values()) {
			endings.set(ending ?? 'none', (endings.get(ending ?? 'none') ?? 0) + 1);
		}

		return endings;
	}

	#pick(limit: number): number {
		return uniformInt(this.#random, 0, limit - 1);
	}

	#request(repeatable: boolean, tokens: number, importance: Importance): void {
		this.#identifier += 1;
		const requestId = `r${this.#identifier}`;
		this.#callers.set(requestId, {
			state: startRequest({
				requestId, organisation: `o${this.#pick(3)}`, importance, repeatable, streamed: true, deadlineAt: this.#now + deadlineMilliseconds,
			}),
			tokens,
			received: '',
			ending: undefined,
			executions: 0,
			finals: 0,
		});
		this.#chooseTarget(requestId, []);
	}

	#chooseTarget(requestId: string, avoid: readonly string[]): void {
		const candidates = [0, 1, 2].filter(target => !avoid.includes(String(target)));
		const target = candidates[this.#pick(Math.max(1, candidates.length))];
		this.#identifier += 1;
		this.#event(requestId, target === undefined
			? {kind: 'no target', code: resultCode.noTarget, retryAfterMilliseconds: 1000}
			: {kind: 'target chosen', attemptId: `a${this.#identifier}`, target: String(target)});
	}

	#event(requestId: string, event: RequestEvent): void {
		const caller = this.#callers.get(requestId)!;
		const {state, effects} = decideRequest(caller.state, event);
		caller.state = state;
		for (const effect of effects) {
			switch (effect.kind) {
				case 'choose target': {
					this.#chooseTarget(requestId, effect.avoid);
					break;
				}

				case 'send attempt': {
					this.#startAttempt(requestId, effect.attemptId, Number(effect.target), effect.emittedParts);
					break;
				}

				case 'resume attempt': {
					this.#toSidecar(effect.attemptId, {kind: 'resume', attemptId: effect.attemptId, receivedThrough: effect.receivedThrough});
					break;
				}

				case 'acknowledge':
				case 'cancel attempt': {
					const receivedThrough = effect.kind === 'acknowledge' ? effect.receivedThrough : 0;
					this.#toSidecar(effect.attemptId, effect.kind === 'acknowledge'
						? {kind: 'acknowledge', attemptId: effect.attemptId, receivedThrough}
						: {kind: 'cancel', attemptId: effect.attemptId});
					break;
				}

				case 'write': {
					caller.received += effect.text;
					break;
				}

				case 'complete': {
					caller.ending = 'complete';
					caller.finals += 1;
					break;
				}

				case 'refuse': {
					assert.equal(describeCode(effect.code).outcome, 'not run', `refused with ${effect.code}`);
					caller.ending = 'not run';
					caller.finals += 1;
					break;
				}

				case 'fail': {
					assert.notEqual(describeCode(effect.code).outcome, 'not run', `failed with ${effect.code}`);
					caller.ending = 'failed';
					caller.finals += 1;
					break;
				}

				case 'drop': {
					break;
				}
			}
		}
	}

	#startAttempt(requestId: string, attemptId: string, target: number, emittedParts: number): void {
		const caller = this.#callers.get(requestId)!;
		const message: AttemptMessage = {
			kind: 'attempt',
			attemptId,
			requestId,
			organisation: caller.state.organisation,
			importance: caller.state.importance,
			repeatable: caller.state.repeatable,
			remainingMilliseconds: caller.state.deadlineAt - this.#now,
			method: 'POST',
			path: '/',
			body: String(emittedParts),
			promptTokens: 100,
			outputTokens: caller.tokens - emittedParts,
			streamed: true,
		};
		this.#attempts.set(attemptId, {
			requestId, target, message, startedAt: this.#now, sentTo: undefined,
		});
		this.#sendAttempt(attemptId);
	}

	#sendAttempt(attemptId: string): void {
		const attempt = this.#attempts.get(attemptId)!;
		if (this.#toSidecar(attemptId, attempt.message)) {
			attempt.sentTo = this.#sidecars[attempt.target]!.incarnation;
			this.#event(attempt.requestId, {kind: 'sent', attemptId});
		}
	}

	/** Hands a frame to the open link of an attempt's sidecar; false when there is none. */
	#toSidecar(attemptId: string, message: Message): boolean {
		const {target} = this.#attempts.get(attemptId)!;
		const {link, incarnation} = this.#sidecars[target]!;
		if (link?.open !== true) {
			return false;
		}

		this.#fly(link.id, () => {
			// A frame that a silent connection held may arrive late, but only at the process that it was sent to.
			if (this.#sidecars[target]!.incarnation === incarnation) {
				this.#receiveAtSidecar(target, link.id, message);
			}
		}, link.silent ? 1 + this.#pick(30_000) : undefined);
		return true;
	}

	#fly(link: string, deliver: () => void, delay = 1 + this.#pick(20)): void {
		// One link keeps the order of its frames.
		const last = this.#flights.findLast(flight => flight.link === link)?.at ?? 0;
		this.#flights.push({at: Math.max(last, this.#now + delay), link, deliver});
	}

	#receiveAtSidecar(target: number, link: string, message: Message): void {
		switch (message.kind) { // eslint-disable-line @typescript-eslint/switch-exhaustiveness-check -- only what a gateway sends
			case 'attempt': {
				this.#dispatch(target, {kind: 'attempt arrived', link, message});
				break;
			}

			case 'resume': {
				this.#dispatch(target, {...message, link});
				break;
			}

			case 'acknowledge':
			case 'cancel': {
				this.#dispatch(target, message);
				break;
			}
		}
	}

	#dispatch(target: number, event: AttemptEvent): void {
		const sidecar = this.#sidecars[target]!;
		for (const effect of sidecar.table.handle(event, this.#now)) {
			switch (effect.kind) {
				case 'send': {
					const {link} = sidecar;
					if (link?.id === effect.link && link.open && !link.silent) {
						this.#fly(`${link.id}-back`, () => {
							this.#receiveAtGateway(target, effect.message);
						});
					}

					break;
				}

				case 'run': {
					const caller = this.#callers.get(effect.message.requestId)!;
					caller.executions += 1;
					sidecar.running.set(effect.message.attemptId, {made: 0, total: effect.message.outputTokens, base: Number(effect.message.body)});
					break;
				}

				case 'stop': {
					sidecar.running.delete(effect.attemptId);
					this.#dispatch(target, {
						kind: 'target finished', attemptId: effect.attemptId, code: resultCode.targetLost, status: 502, finishReason: '', contentType: '',
					});
					break;
				}

				case 'count': {
					break;
				}
			}
		}
	}

	#receiveAtGateway(target: number, message: Message): void {
		this.#sidecars[target]!.lastHeardAt = this.#now;
		if (!('attemptId' in message)) {
			return;
		}

		const attempt = this.#attempts.get(message.attemptId)!;
		switch (message.kind) { // eslint-disable-line @typescript-eslint/switch-exhaustiveness-check -- only what a sidecar sends
			case 'output': {
				this.#event(attempt.requestId, message);
				break;
			}

			case 'refused':
			case 'finished': {
				this.#event(attempt.requestId, message.kind === 'refused' ? {...message, mayRetry: this.#pick(4) > 0} : {...message, contentType: '', mayRetry: this.#pick(4) > 0});
				break;
			}

			case 'attempt unknown': {
				const isRemembered = this.#now - attempt.startedAt < rememberedMilliseconds;
				const certainlyNotRun = isRemembered && !message.mayHaveRun && attempt.sentTo === this.#sidecars[target]!.incarnation;
				this.#event(attempt.requestId, {
					kind: 'attempt unknown', attemptId: message.attemptId, certainlyNotRun, mayRetry: this.#pick(4) > 0,
				});
				break;
			}
		}
	}

	#advance(milliseconds: number): void {
		const until = this.#now + milliseconds;
		while (this.#now < until) {
			this.#now += slotMilliseconds;
			const due = this.#flights.filter(({at}) => at <= this.#now);
			this.#flights = this.#flights.filter(({at}) => at > this.#now);
			for (const flight of due.toSorted((first, second) => first.at - second.at)) {
				flight.deliver();
			}

			for (const target of [0, 1, 2]) {
				this.#runTarget(target);
				this.#dispatch(target, {kind: 'tick'});
				this.#keepLink(target);
			}

			for (const [requestId, {state}] of this.#callers) {
				if (state.phase !== 'done' && state.deadlineAt <= this.#now) {
					this.#event(requestId, {kind: 'deadline'});
				}
			}
		}
	}

	#runTarget(target: number): void {
		const sidecar = this.#sidecars[target]!;
		for (const [attemptId, run] of sidecar.running) {
			if (this.#now % tokenMilliseconds !== 0) {
				continue;
			}

			const {requestId} = this.#attempts.get(attemptId)!;
			if (run.made < run.total) {
				this.#dispatch(target, {kind: 'target output', attemptId, text: tokenOf(requestId, run.base + run.made)});
				run.made += 1;
				continue;
			}

			sidecar.running.delete(attemptId);
			this.#dispatch(target, {
				kind: 'target finished', attemptId, code: 0, status: 200, finishReason: 'length', contentType: '',
			});
		}
	}

	/** Replaces a silent link and gives up on a target that stays unreachable, as the gateway's link does. */
	#keepLink(target: number): void {
		const sidecar = this.#sidecars[target]!;
		const {link} = sidecar;
		if (link?.open === true && !link.silent) {
			sidecar.lastHeardAt = this.#now;
			return;
		}

		if (link?.open === true && this.#now - sidecar.lastHeardAt > silentMilliseconds) {
			this.#closeLink(sidecar);
		}

		const live = [...this.#attempts.entries()].filter(([, attempt]) => attempt.target === target && this.#isLive(attempt.requestId, attempt));
		if (link?.open !== true && this.#now >= sidecar.unreachableUntil) {
			this.#identifier += 1;
			sidecar.link = {id: `l${this.#identifier}`, silent: false, open: true};
			sidecar.lastHeardAt = this.#now;
			for (const [attemptId, attempt] of live) {
				if (attempt.sentTo === undefined) {
					this.#sendAttempt(attemptId);
				} else {
					this.#event(attempt.requestId, {kind: 'link replaced', attemptId});
				}
			}

			return;
		}

		for (const [attemptId, attempt] of live.filter(() => this.#now - sidecar.lastHeardAt > lostMilliseconds)) {
			this.#event(attempt.requestId, attempt.sentTo === undefined
				? {kind: 'unsent', attemptId, mayRetry: true}
				: {kind: 'target lost', attemptId, mayRetry: true});
		}
	}

	#isLive(requestId: string, attempt: {readonly message: AttemptMessage}): boolean {
		const {state} = this.#callers.get(requestId)!;
		return option.isSome(state.attempt) && state.attempt.value.attemptId === attempt.message.attemptId;
	}

	#closeLink(sidecar: Sidecar): void {
		if (sidecar.link?.open === true) {
			sidecar.link.open = false;
			const {id} = sidecar.link;
			this.#flights = this.#flights.filter(({link}) => link !== `${id}-back`);
			this.#dispatch(this.#sidecars.indexOf(sidecar), {kind: 'link closed', link: id});
		}
	}

	#restart(sidecar: Sidecar): void {
		this.#closeLink(sidecar);
		// The target goes on with what it had; nobody hears of it any more.
		sidecar.running = new Map();
		sidecar.table = new AttemptTable(capacity);
		sidecar.incarnation += 1;
	}

	#killTarget(target: number): void {
		const sidecar = this.#sidecars[target]!;
		for (const attemptId of sidecar.running.keys()) {
			sidecar.running.delete(attemptId);
			this.#dispatch(target, {
				kind: 'target finished', attemptId, code: resultCode.targetLost, status: 502, finishReason: '', contentType: '',
			});
		}
	}
}
