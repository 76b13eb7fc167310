/**
One gateway's request decisions and three sidecars' attempt tables, joined by
links with faults, on a virtual clock. It keeps a ledger of what really ran.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {AttemptEvent} from '../../source/decisions/attempts/attempt-event.js';
import {AttemptTable} from '../../source/decisions/attempts/attempt-table.js';
import {decideRequest} from '../../source/decisions/request/decide-request.js';
import type {RequestEvent} from '../../source/decisions/request/request-event.js';
import {startRequest} from '../../source/decisions/request/start-request.js';
import type {AttemptMessage, Importance, Message} from '../../source/generated/messages.js';
import {resultCode} from '../../source/generated/result-codes.js';
import {CallerLedger} from './caller-ledger.js';
import {FramesInFlight} from './frames-in-flight.js';
import type {LossyStep} from './lossy-step.js';
import type {LossySidecar} from './lossy-sidecar.js';
import type {SentAttempt} from './sent-attempt.js';
import {sidecarEvent} from './sidecar-event.js';
import {TargetRuns} from './target-runs.js';

const capacity = {
	kind: 'engine', totalPieces: 6, tokensPerPiece: 2000, mostRunning: 4, prefillTokensPerSecond: 10_000, decodeTokensPerSecond: 100, tokenMilliseconds: 40,
} as const;

const silentMilliseconds = 2500;
const lostMilliseconds = 6000;
const rememberedMilliseconds = 60_000;
const tokenMilliseconds = 40;
const slotMilliseconds = 20;
const deadlineMilliseconds = 20_000;

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
	readonly #callers = new CallerLedger();
	readonly #attempts = new Map<string, SentAttempt>();
	readonly #sidecars: LossySidecar[] = Array.from({length: 3}, () => ({
		table: new AttemptTable(capacity), incarnation: 0, link: undefined, unreachableUntil: 0, lastHeardAt: 0, running: new TargetRuns(),
	}));

	readonly #frames = new FramesInFlight();

	constructor(seed: number) {
		this.#random = xoroshiro128plus(seed);
	}

	step(step: LossyStep): void {
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
		this.#callers.check();
	}

	/** How often each ending was seen. */
	get endings(): ReadonlyMap<string, number> {
		return this.#callers.endings;
	}

	#pick(limit: number): number {
		return uniformInt(this.#random, 0, limit - 1);
	}

	#request(repeatable: boolean, tokens: number, importance: Importance): void {
		this.#identifier += 1;
		const requestId = `r${this.#identifier}`;
		this.#callers.add(startRequest({
			requestId, organisation: `o${this.#pick(3)}`, importance, repeatable, streamed: true, deadlineAt: this.#now + deadlineMilliseconds,
		}), tokens);
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
		const caller = this.#callers.of(requestId);
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

				case 'write':
				case 'complete':
				case 'refuse':
				case 'fail':
				case 'drop': {
					this.#callers.told(requestId, effect);
					break;
				}
			}
		}
	}

	#startAttempt(requestId: string, attemptId: string, target: number, emittedParts: number): void {
		const caller = this.#callers.of(requestId);
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
				this.#dispatch(target, sidecarEvent(message, link.id));
			}
		}, link.silent ? 1 + this.#pick(30_000) : undefined);
		return true;
	}

	#fly(link: string, deliver: () => void, delay = 1 + this.#pick(20)): void {
		this.#frames.send(link, this.#now + delay, deliver);
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
					this.#callers.of(effect.message.requestId).executions += 1;
					sidecar.running.start(effect.message);
					break;
				}

				case 'stop': {
					sidecar.running.stop(effect.attemptId, told => {
						this.#dispatch(target, told);
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
			this.#frames.deliver(this.#now);
			for (const target of [0, 1, 2]) {
				this.#runTarget(target);
				this.#dispatch(target, {kind: 'tick'});
				this.#keepLink(target);
			}

			for (const requestId of this.#callers.overdue(this.#now)) {
				this.#event(requestId, {kind: 'deadline'});
			}
		}
	}

	#runTarget(target: number): void {
		if (this.#now % tokenMilliseconds === 0) {
			this.#sidecars[target]!.running.step(event => {
				this.#dispatch(target, event);
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

		const live = [...this.#attempts.entries()].filter(([, attempt]) => attempt.target === target && this.#callers.isLive(attempt.requestId, attempt.message.attemptId));
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

	#closeLink(sidecar: LossySidecar): void {
		if (sidecar.link?.open === true) {
			sidecar.link.open = false;
			const {id} = sidecar.link;
			this.#frames.drop(`${id}-back`);
			this.#dispatch(this.#sidecars.indexOf(sidecar), {kind: 'link closed', link: id});
		}
	}

	#restart(sidecar: LossySidecar): void {
		this.#closeLink(sidecar);
		// The target goes on with what it had; nobody hears of it any more.
		sidecar.running = new TargetRuns();
		sidecar.table = new AttemptTable(capacity);
		sidecar.incarnation += 1;
	}

	#killTarget(target: number): void {
		this.#sidecars[target]!.running.stopAll(event => {
			this.#dispatch(target, event);
		});
	}
}
