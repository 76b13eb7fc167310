/**
Keeps what all callers together make the gateway hold within its limits.
*/
import type {Socket} from 'node:net';
import type {Logger} from 'roarr';
import {CallerHoldings} from '../decisions/callers/caller-holdings.js';
import {chooseIdleConnection} from '../decisions/callers/choose-idle-connection.js';
import {HeadHoldings} from '../decisions/callers/head-holdings.js';
import {CallerTurns} from '../decisions/callers/caller-turns.js';
import {RateLimit} from '../decisions/entry/requests/rate-limit.js';
import type {EntryMetrics} from '../entry/entry-metrics.js';
import type {FeedOwner} from './feed-owner.js';
import {RequestFeed} from './request-feed.js';

type GuardOptions = {
	/** Bytes that callers may make the gateway hold. */
	readonly callerBytes: number;
	/** Bytes of the heap that the heads of their requests may take. */
	readonly headBytes: number;
	/** Connections that callers may have. */
	readonly connections: number;
	readonly metrics: EntryMetrics;
	readonly log: Logger;
	readonly now: () => number;
};

/** What a connection held, and what it did, when it was given up. */
type Given = {readonly bytes: number; readonly phase: RequestFeed['phase']};

type Reason = 'memory' | 'heads' | 'connections' | 'stalled' | 'misread';

/** Lines of closed connections and refused requests that are written each second. */
const maxLinesPerSecond = 2;

/**
One instance a server for callers.

@example
```
server.on('connection', socket => {
	guard.add(socket);
});
```
*/
export class CallerGuard implements FeedOwner<RequestFeed> {
	readonly now: () => number;
	#isScheduled = false;
	#isEnforcing = false;
	#unlogged = 0;
	readonly #feeds = new Map<Socket, RequestFeed>();
	readonly #turns = new CallerTurns<RequestFeed>();
	readonly #holdings: CallerHoldings<RequestFeed>;
	readonly #heads: HeadHoldings;
	readonly #lines = new RateLimit(maxLinesPerSecond);
	readonly #options: GuardOptions;

	constructor(options: GuardOptions) {
		this.#options = options;
		this.now = options.now;
		this.#holdings = new CallerHoldings(options.callerBytes);
		this.#heads = new HeadHoldings(options.headBytes);
	}

	/** Takes a connection over that the HTTP server has just set up, and closes another one if there are too many. */
	add(socket: Socket): void {
		this.#feeds.set(socket, new RequestFeed(socket, this));
		if (this.#feeds.size <= this.#options.connections) {
			return;
		}

		const victim = chooseIdleConnection([...this.#feeds.values()].filter(feed => feed.socket !== socket)) ?? this.#feeds.get(socket)!;
		this.#log('connections', victim, 'closed');
		victim.socket.destroy();
		this.remove(victim);
	}

	feedOf(socket: Socket): RequestFeed | undefined {
		return this.#feeds.get(socket);
	}

	remove(feed: RequestFeed): void {
		this.#feeds.delete(feed.socket);
		this.#turns.remove(feed);
		this.#holdings.remove(feed);
	}

	setHolding(...[feed, kind, bytes]: Parameters<FeedOwner<RequestFeed>['setHolding']>): void {
		if (this.#feeds.has(feed.socket)) {
			this.#holdings.set(feed, feed.address, kind, bytes);
		}
	}

	/** Counts the head of a request that is to be served. Returns a function that counts it no more, or undefined when there is no room for it. */
	holdHead(feed: RequestFeed, bytes: number): (() => void) | undefined {
		if (!this.#heads.tryHold(bytes)) {
			this.#log('heads', feed, 'refused', {bytes});
			return undefined;
		}

		return () => {
			this.#heads.release(bytes);
		};
	}

	/** Takes memory back from those who hold most until the total is within its limit. */
	enforce(): void {
		if (!this.#holdings.isOver) {
			return;
		}

		const now = this.now();
		const victim = this.#holdings.chooseVictim(feed => feed.isStalled(now));
		if (victim === undefined) {
			return;
		}

		const bytes = this.#holdings.heldBy(victim);
		const {phase} = victim;
		const outcome = victim.giveUp();
		this.#holdings.remove(victim);
		this.#log('memory', victim, outcome, {bytes, phase});
		this.enforce();
	}

	/** Does so in a later turn of the event loop, for what is held by answers: callers may send nothing meanwhile. */
	enforceSoon(): void {
		if (this.#isEnforcing || !this.#holdings.isOver) {
			return;
		}

		this.#isEnforcing = true;
		setImmediate(() => {
			this.#isEnforcing = false;
			this.enforce();
		});
	}

	askForTurn(feed: RequestFeed): void {
		this.#turns.ask(feed);
		this.#schedule();
	}

	/** Closes a connection on which the parser expects other bytes than its request announced. */
	closeMisread(feed: RequestFeed): void {
		this.#log('misread', feed, 'closed', {bytes: feed.pendingBytes});
		feed.socket.destroy();
	}

	/** Closes connections whose request has stopped in its middle for this long. */
	closeStalled(milliseconds: number): void {
		const now = this.now();
		for (const feed of this.#feeds.values()) {
			if (feed.phase === 'incoming' && feed.pendingBytes === 0 && now - feed.activeAt > milliseconds) {
				this.#log('stalled', feed, 'closed', {bytes: this.#holdings.heldBy(feed)});
				feed.socket.destroy();
			}
		}
	}

	recordGauges(): void {
		const {metrics} = this.#options;
		metrics.gauge('callers.connections', this.#feeds.size);
		metrics.gauge('callers.held-bytes', this.#holdings.total);
		metrics.gauge('callers.head-bytes', this.#heads.total);
		metrics.gauge('callers.waiting-turns', this.#turns.waitingCount);
	}

	/** Gives turns in a later turn of the event loop, so that other callers come between. */
	#schedule(): void {
		if (this.#isScheduled || this.#turns.waitingCount === 0) {
			return;
		}

		this.#isScheduled = true;
		setImmediate(() => {
			this.#isScheduled = false;
			for (const feed of this.#turns.takeNext()) {
				feed.takeTurn();
			}

			this.#schedule();
		});
	}

	#log(reason: Reason, feed: RequestFeed, outcome: 'refused' | 'closed', {bytes = 0, phase = feed.phase}: Partial<Given> = {}): void {
		const {metrics, log} = this.#options;
		metrics.count(`caller.${outcome}.${reason}`);
		if (!this.#lines.tryTake(this.now())) {
			this.#unlogged++;
			return;
		}

		log.warn({
			event: `caller ${outcome}`,
			reason,
			address: feed.address,
			phase,
			bytes,
			heldBytes: this.#holdings.total,
			headBytes: this.#heads.total,
			connections: this.#feeds.size,
			unlogged: this.#unlogged,
		}, outcome === 'refused' ? 'request refused because callers make the gateway hold too much' : 'connection of a caller closed');
		this.#unlogged = 0;
	}
}
