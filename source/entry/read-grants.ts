/**
Asks the gateway that speaks for an engine before a long prompt is sent there,
and answers the asks of others.
*/
import {engineOwner} from '../decisions/entry/engine-owner.js';
import {grantPrefill} from '../decisions/entry/grant-prefill.js';
import type {EngineView} from '../decisions/entry/engine-view.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {PeerMessage} from '../generated/peer-messages.js';
import type {EntryContext} from './entry-context.js';

type Ask = Extract<PeerMessage, {kind: 'ask'}>;
type Answer = Extract<PeerMessage, {kind: 'answer'}>;
type Verdict = 'granted' | 'denied' | 'no answer';

type GrantOptions = {
	readonly context: EntryContext;
	readonly peers: () => readonly string[];
	readonly send: (peer: string, message: PeerMessage) => void;
};

/** A keeper answers within two ways between zones; after this the prompt is sent as the own view has it. */
const answerMilliseconds = 25;

/**
Invariant: each ask is settled once, by its answer or by the time limit, so no
prompt waits on a gateway that has gone.

@example
```
grants.ask({target, lane: 'onTime', readMilliseconds: 94, assumedMilliseconds: 40}, verdict => go(verdict));
```
*/
export class ReadGrants {
	#number = 0;
	readonly #options: GrantOptions;
	readonly #open = new Map<number, (verdict: Verdict, answer?: Answer) => void>();

	constructor(options: GrantOptions) {
		this.#options = options;
	}

	/** The peer to be asked for an engine, none when this gateway speaks for it itself. */
	keeperOf({incarnation}: TargetRecord): string | undefined {
		const {context, peers} = this.#options;
		const own = context.settings().name;
		const keeper = engineOwner(incarnation, [own, ...peers()]);
		return keeper === own ? undefined : keeper;
	}

	/** Asks a keeper; `settle` is called once, later. */
	ask(keeper: string, {target, lane, readMilliseconds, assumedMilliseconds}: Omit<Ask, 'kind' | 'number' | 'target'> & {readonly target: TargetRecord}, settle: (verdict: Verdict) => void): void {
		const {context, send} = this.#options;
		this.#number++;
		const number = this.#number;
		const timer = setTimeout(() => {
			this.#settle(number, 'no answer');
		}, answerMilliseconds);
		this.#open.set(number, (verdict, answer) => {
			clearTimeout(timer);
			context.metrics.count(`grant.${verdict.replace(' ', '-')}`);
			if (answer !== undefined) {
				context.book.hearKeeper(target.id, answer.waitingMilliseconds + (verdict === 'granted' ? readMilliseconds : 0), context.now());
			}

			settle(verdict);
		});
		send(keeper, {
			kind: 'ask', number, target: target.id, lane, readMilliseconds: Math.round(readMilliseconds), assumedMilliseconds: Math.round(assumedMilliseconds),
		});
	}

	/** Tells the keeper that one of this gateway's prompts has been read. */
	read(targetId: string, readMilliseconds: number): void {
		const target = this.#options.context.beliefs.find(targetId);
		const keeper = target?.role === undefined ? undefined : this.keeperOf(target);
		if (keeper !== undefined) {
			this.#options.send(keeper, {kind: 'read', target: targetId, readMilliseconds: Math.round(readMilliseconds)});
		}
	}

	hearAsk(peer: string, ask: Ask): void {
		const {context, send} = this.#options;
		const target = context.beliefs.find(ask.target);
		const load = context.book.total(ask.target, context.now());
		const view: Pick<EngineView, 'role' | 'slots' | 'attempts' | 'readMilliseconds'> = {role: target?.role ?? 'decode', slots: target?.slots ?? 0, ...load};
		// Of an engine that is not known here nothing can be said against it.
		const isGranted = target === undefined || grantPrefill(view, ask);
		if (isGranted) {
			context.book.adjustPeer(peer, ask.target, {attempts: 1, readMilliseconds: ask.readMilliseconds});
		}

		send(peer, {
			kind: 'answer', number: ask.number, isGranted, waitingMilliseconds: Math.max(0, Math.round(load.readMilliseconds)),
		});
	}

	hearAnswer(answer: Answer): void {
		this.#settle(answer.number, answer.isGranted ? 'granted' : 'denied', answer);
	}

	hearRead(peer: string, {target, readMilliseconds}: Extract<PeerMessage, {kind: 'read'}>): void {
		this.#options.context.book.adjustPeer(peer, target, {attempts: 0, readMilliseconds: -readMilliseconds});
	}

	#settle(number: number, verdict: Verdict, answer?: Answer): void {
		const settle = this.#open.get(number);
		this.#open.delete(number);
		settle?.(verdict, answer);
	}
}
