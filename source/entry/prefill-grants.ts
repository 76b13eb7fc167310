/**
Asks the owner gateway of an engine for a grant before a long prompt is sent there,
and answers such requests of peers for the engines that this gateway owns.
*/
import {engineOwner} from '../decisions/entry/prompts/engine-owner.js';
import type {Gateway} from '../decisions/load/gateway.js';
import {ownerCandidates} from '../decisions/load/owner-candidates.js';
import {grantPrefill} from '../decisions/entry/prompts/grant-prefill.js';
import type {EngineView} from '../decisions/entry/prompts/engine-view.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {EntryContext} from './entry-context.js';

type Ask = Extract<PeerMessage, {kind: 'ask'}>;
type Answer = Extract<PeerMessage, {kind: 'answer'}>;
type Verdict = 'granted' | 'denied' | 'no answer';

type GrantOptions = {
	readonly context: EntryContext;
	readonly peers: () => readonly Gateway[];
	readonly send: (peer: string, message: PeerMessage) => void;
};

/** An owner answers within one round trip between zones. After this time the prompt is sent on this gateway's own view of the engine. */
const answerTimeoutMilliseconds = 25;

/**
Invariant: each request is settled once, by its answer or by the timeout, so no
prompt waits for a gateway that is gone.

@example
```
grants.ask('gateway-2', {target, lane: 'onTime', readMilliseconds: 94, assumedMilliseconds: 40}, verdict => send(verdict));
```
*/
export class PrefillGrants {
	#lastNumber = 0;
	readonly #options: GrantOptions;
	readonly #pending = new Map<number, (verdict: Verdict, answer?: Answer) => void>();

	constructor(options: GrantOptions) {
		this.#options = options;
	}

	/** The peer that owns an engine, undefined when this gateway owns it itself. */
	ownerOf({incarnation, availabilityZone}: Pick<TargetRecord, 'incarnation' | 'availabilityZone'>): string | undefined {
		const {context, peers} = this.#options;
		const own = context.settings();
		const owner = engineOwner(incarnation, ownerCandidates([own, ...peers()], availabilityZone));
		return owner === own.name ? undefined : owner;
	}

	/** Asks an owner gateway for a grant; `settle` is called once, asynchronously. */
	ask(owner: string, {target, lane, readMilliseconds, assumedMilliseconds}: Omit<Ask, 'kind' | 'number' | 'target'> & {readonly target: TargetRecord}, settle: (verdict: Verdict) => void): void {
		const {context, send} = this.#options;
		this.#lastNumber++;
		const number = this.#lastNumber;
		const cancelTimeout = context.timers.after(answerTimeoutMilliseconds, () => {
			this.#settle(number, 'no answer');
		});
		this.#pending.set(number, (verdict, answer) => {
			cancelTimeout();
			context.metrics.count(`grant.${verdict.replace(' ', '-')}`);
			if (answer !== undefined) {
				context.loadTracker.setOwnerBacklog(target.id, answer.waitingMilliseconds + (verdict === 'granted' ? readMilliseconds : 0), context.now());
			}

			settle(verdict);
		});
		send(owner, {
			kind: 'ask', number, target: target.id, lane, readMilliseconds: Math.round(readMilliseconds), assumedMilliseconds: Math.round(assumedMilliseconds),
		});
	}

	/** Reports to the owner gateway that the prefill of one of this gateway's prompts has ended. */
	reportPrefillEnd(targetId: string, readMilliseconds: number): void {
		const target = this.#options.context.targetRegistry.find(targetId);
		const owner = target?.role === undefined ? undefined : this.ownerOf(target);
		if (owner !== undefined) {
			this.#options.send(owner, {kind: 'read', target: targetId, readMilliseconds: Math.round(readMilliseconds)});
		}
	}

	/** Answers a peer's request for a grant, and counts a granted prompt as the peer's load. */
	handleAsk(peer: string, ask: Ask): void {
		const {context, send} = this.#options;
		const target = context.targetRegistry.find(ask.target);
		const load = context.loadTracker.totalLoad(ask.target, context.now());
		const view: Pick<EngineView, 'role' | 'slots' | 'attempts' | 'readMilliseconds' | 'speed'> = {
			role: target?.role ?? 'decode', slots: target?.slots ?? 0, ...load, speed: target === undefined ? 1 : context.capacity.of(target, context.now()).speed,
		};
		// This gateway has no load data on an unknown engine, so it has no reason to deny the grant.
		const isGranted = target === undefined || grantPrefill(view, ask);
		if (isGranted) {
			context.loadTracker.adjustPeerLoad(peer, ask.target, {attempts: 1, readMilliseconds: ask.readMilliseconds});
		}

		send(peer, {
			kind: 'answer', number: ask.number, isGranted, waitingMilliseconds: Math.max(0, Math.round(load.readMilliseconds)),
		});
	}

	handleAnswer(answer: Answer): void {
		this.#settle(answer.number, answer.isGranted ? 'granted' : 'denied', answer);
	}

	/** Subtracts a prefill from the peer's load after the peer reported its end. */
	handlePrefillEnd(peer: string, {target, readMilliseconds}: Extract<PeerMessage, {kind: 'read'}>): void {
		this.#options.context.loadTracker.adjustPeerLoad(peer, target, {attempts: 0, readMilliseconds: -readMilliseconds});
	}

	#settle(number: number, verdict: Verdict, answer?: Answer): void {
		const settle = this.#pending.get(number);
		this.#pending.delete(number);
		settle?.(verdict, answer);
	}
}
