/**
Tracks all attempts at one target: admission, execution, output and what is remembered of ended ones.

It guarantees that a refused attempt never runs, that an attempt which arrives twice
runs once, and that an attempt which this process reported as unknown never runs later,
however late its frame arrives. Output is kept until the gateway acknowledges it or has
been disconnected for the orphan timeout. Leaving does not interrupt running attempts.
*/
import {resultCode} from '../../generated/result-codes.js';
import type {AttemptMessage, Load} from '../../generated/messages.js';
import type {AdmissionEffect} from '../admission/admission-effect.js';
import {AdmissionQueue} from '../admission/admission-queue.js';
import type {TargetCapacity} from '../admission/target-capacity.js';
import type {AttemptEffect} from './attempt-effect.js';
import type {AttemptEvent} from './attempt-event.js';
import {OutputBuffer} from './output-buffer.js';

const orphanTimeoutMilliseconds = 15_000;
const tombstoneLifetimeMilliseconds = 120_000;

type Attempt = {
	readonly message: AttemptMessage;
	link: string | undefined;
	phase: 'waiting' | 'running' | 'ended';
	orphanedAt: number | undefined;
	readonly buffer: OutputBuffer;
};

type Tombstone = {readonly expiresAt: number; readonly mayHaveRun: boolean};

type EventOf<Kind extends AttemptEvent['kind']> = Extract<AttemptEvent, {readonly kind: Kind}>;

/**
State machine of the attempts at one target. Deterministic: the caller passes the time.

@example
```
const table = new AttemptTable(capacity);
table.handle({kind: 'attempt arrived', link, message}, clock()).forEach(perform);
```
*/
export class AttemptTable {
	/** State that the target reports about itself; part of the load reports. */
	targetState: Pick<Load, 'role' | 'model' | 'version' | 'changing'> = {
		role: 'mixed', model: '', version: '', changing: false,
	};

	#hasLeft = false;
	#promptTokensOffered = 0;
	#outputTokensOffered = 0;
	readonly #attempts = new Map<string, Attempt>();
	/** Removed attempts that must never run here, ordered by expiry. */
	readonly #tombstones = new Map<string, Tombstone>();
	readonly #queue: AdmissionQueue;

	constructor(capacity: TargetCapacity) {
		this.#queue = new AdmissionQueue(capacity);
	}

	/** True when no attempt runs, waits or has unacknowledged output. */
	get isDrained(): boolean {
		return this.#attempts.size === 0;
	}

	/** True when no attempt runs at the target. */
	get isIdle(): boolean {
		return this.#queue.runningCount === 0;
	}

	get size(): number {
		return this.#attempts.size;
	}

	/** True while the table holds an attempt that belongs to the link. */
	hasAttemptsOf(link: string): boolean {
		return [...this.#attempts.values()].some(attempt => attempt.link === link);
	}

	updateCapacity(capacity: TargetCapacity): void {
		this.#queue.updateCapacity(capacity);
	}

	load(now: number): Load {
		return {
			...this.#queue.load(now),
			...this.targetState,
			promptTokensOffered: this.#promptTokensOffered,
			outputTokensOffered: this.#outputTokensOffered,
		};
	}

	/** Handles one event and returns the effects to perform, in order. */
	handle(event: AttemptEvent, now: number): readonly AttemptEffect[] {
		switch (event.kind) {
			case 'attempt arrived': {
				return this.#onAttemptArrived(event, now);
			}

			case 'resume': {
				return this.#onResume(event, now);
			}

			case 'acknowledge': {
				return this.#onAcknowledge(event);
			}

			case 'cancel': {
				return this.#onCancel(event, now);
			}

			case 'link closed': {
				return this.#onLinkClosed(event, now);
			}

			case 'target output': {
				return this.#onTargetOutput(event);
			}

			case 'target finished': {
				return this.#onTargetFinished(event, now);
			}

			case 'tick': {
				return this.#onTick(now);
			}

			case 'empty': {
				return this.#applyAdmission(this.#queue.close(), now);
			}

			case 'return': {
				if (!this.#hasLeft) {
					this.#queue.reopen();
				}

				return [];
			}

			case 'leave': {
				this.#hasLeft = true;
				return this.#applyAdmission(this.#queue.close(), now);
			}
		}
	}

	#onAttemptArrived({link, message}: EventOf<'attempt arrived'>, now: number): readonly AttemptEffect[] {
		if (this.#tombstones.has(message.attemptId)) {
			return [{kind: 'count', counter: 'attempt.barred'}];
		}

		if (this.#attempts.has(message.attemptId)) {
			return [{kind: 'count', counter: 'attempt.duplicate'}];
		}

		this.#promptTokensOffered += message.promptTokens;
		this.#outputTokensOffered += message.outputTokens;
		this.#attempts.set(message.attemptId, {
			message, link, phase: 'waiting', orphanedAt: undefined, buffer: new OutputBuffer(),
		});
		return this.#applyAdmission(this.#queue.offer({
			attemptId: message.attemptId,
			organisation: message.organisation,
			importance: message.importance,
			deadlineAt: now + message.remainingMilliseconds,
			promptTokens: message.promptTokens,
			outputTokens: message.outputTokens,
		}, now), now);
	}

	#onResume({link, attemptId, receivedThrough}: EventOf<'resume'>, now: number): readonly AttemptEffect[] {
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined) {
			const mayHaveRun = this.#tombstones.get(attemptId)?.mayHaveRun ?? false;
			this.#addTombstone(attemptId, mayHaveRun, now);
			return [{kind: 'send', link, message: {kind: 'attempt unknown', attemptId, mayHaveRun}}];
		}

		attempt.link = link;
		attempt.orphanedAt = undefined;
		attempt.buffer.acknowledge(receivedThrough);
		return attempt.buffer.partsAfter(receivedThrough).map(message => ({kind: 'send', link, message}));
	}

	#onAcknowledge({attemptId, receivedThrough}: EventOf<'acknowledge'>): readonly AttemptEffect[] {
		const attempt = this.#attempts.get(attemptId);
		attempt?.buffer.acknowledge(receivedThrough);
		if (attempt?.buffer.isFullyAcknowledged) {
			this.#attempts.delete(attemptId);
		}

		return [];
	}

	/** Cancels an attempt. One that has not started never runs; a running non-repeatable one runs to its end. */
	#onCancel({attemptId}: EventOf<'cancel'>, now: number): readonly AttemptEffect[] {
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined) {
			this.#addTombstone(attemptId, this.#tombstones.get(attemptId)?.mayHaveRun ?? false, now);
			return [];
		}

		switch (attempt.phase) {
			case 'waiting': {
				this.#queue.withdraw(attemptId);
				this.#replaceByTombstone(attemptId, false, now);
				return [];
			}

			case 'running': {
				attempt.link = undefined;
				attempt.orphanedAt = now;
				return attempt.message.repeatable ? [{kind: 'stop', attemptId}] : [];
			}

			case 'ended': {
				this.#replaceByTombstone(attemptId, true, now);
				return [];
			}
		}
	}

	#onLinkClosed({link}: EventOf<'link closed'>, now: number): readonly AttemptEffect[] {
		for (const attempt of this.#attempts.values()) {
			if (attempt.link === link) {
				attempt.link = undefined;
				attempt.orphanedAt = now;
			}
		}

		return [];
	}

	#onTargetOutput({attemptId, text}: EventOf<'target output'>): readonly AttemptEffect[] {
		const attempt = this.#attempts.get(attemptId);
		if (attempt?.phase !== 'running') {
			return [{kind: 'count', counter: 'target.late-output'}];
		}

		const message = attempt.buffer.append(sequence => ({
			kind: 'output' as const, attemptId, sequence, text,
		}));
		return attempt.link === undefined ? [] : [{kind: 'send', link: attempt.link, message}];
	}

	#onTargetFinished({attemptId, code, status, finishReason, contentType}: EventOf<'target finished'>, now: number): readonly AttemptEffect[] {
		const attempt = this.#attempts.get(attemptId);
		if (attempt?.phase !== 'running') {
			return [{kind: 'count', counter: 'target.late-end'}];
		}

		attempt.phase = 'ended';
		const started = this.#applyAdmission(this.#queue.complete(attemptId, now), now);
		if (isRefusalByTarget(code)) {
			return [...this.#refuse(attemptId, code, 0, now), ...started];
		}

		const message = attempt.buffer.append(sequence => ({
			kind: 'finished' as const, attemptId, sequence, code, status, finishReason, contentType, load: this.load(now),
		}));
		return attempt.link === undefined ? started : [{kind: 'send', link: attempt.link, message}, ...started];
	}

	#onTick(now: number): readonly AttemptEffect[] {
		const expired = this.#applyAdmission(this.#queue.expire(now), now);
		const orphaned = [...this.#attempts.entries()].filter(([, attempt]) => attempt.orphanedAt !== undefined && now - attempt.orphanedAt > orphanTimeoutMilliseconds);
		const abandoned = orphaned.flatMap(([attemptId, attempt]) => this.#abandon(attemptId, attempt, now));
		for (const [attemptId, {expiresAt}] of this.#tombstones) {
			if (expiresAt > now) {
				break;
			}

			this.#tombstones.delete(attemptId);
		}

		return [...expired, ...abandoned];
	}

	/** Drops or stops an attempt whose gateway has not reconnected in time. A running non-repeatable attempt is never stopped. */
	#abandon(attemptId: string, attempt: Attempt, now: number): readonly AttemptEffect[] {
		switch (attempt.phase) {
			case 'waiting': {
				this.#queue.withdraw(attemptId);
				this.#replaceByTombstone(attemptId, false, now);
				return [{kind: 'count', counter: 'attempt.abandoned-waiting'}];
			}

			case 'running': {
				return attempt.message.repeatable ? [{kind: 'stop', attemptId}, {kind: 'count', counter: 'attempt.abandoned-running'}] : [];
			}

			case 'ended': {
				this.#replaceByTombstone(attemptId, true, now);
				return [{kind: 'count', counter: 'attempt.abandoned-ended'}];
			}
		}
	}

	#applyAdmission(effects: readonly AdmissionEffect[], now: number): readonly AttemptEffect[] {
		return effects.flatMap((effect): readonly AttemptEffect[] => {
			switch (effect.kind) {
				case 'run': {
					const attempt = this.#attempts.get(effect.attemptId)!;
					attempt.phase = 'running';
					return [{kind: 'run', message: attempt.message}];
				}

				case 'refuse': {
					return this.#refuse(effect.attemptId, effect.code, effect.retryAfterMilliseconds, now);
				}
			}
		});
	}

	#refuse(attemptId: string, code: number, retryAfterMilliseconds: number, now: number): readonly AttemptEffect[] {
		const link = this.#attempts.get(attemptId)?.link;
		this.#replaceByTombstone(attemptId, false, now);
		const countEffect: AttemptEffect = {kind: 'count', counter: `refused.${code}`};
		return link === undefined
			? [countEffect]
			: [countEffect, {
				kind: 'send',
				link,
				message: {
					kind: 'refused', attemptId, code, retryAfterMilliseconds, load: this.load(now),
				},
			}];
	}

	#replaceByTombstone(attemptId: string, mayHaveRun: boolean, now: number): void {
		this.#attempts.delete(attemptId);
		this.#addTombstone(attemptId, mayHaveRun, now);
	}

	/** Records that an attempt must not run. An existing entry is inserted again at the end, which keeps the map ordered by expiry. */
	#addTombstone(attemptId: string, mayHaveRun: boolean, now: number): void {
		this.#tombstones.delete(attemptId);
		this.#tombstones.set(attemptId, {expiresAt: now + tombstoneLifetimeMilliseconds, mayHaveRun});
	}
}

/** True when the target itself did not accept the request, so that the attempt has not run. */
const isRefusalByTarget = (code: number): boolean => code === resultCode.targetRefusedConnection || code === resultCode.targetLeaving;
