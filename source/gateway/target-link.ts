/**
The connection from a gateway to one sidecar, replaced when it goes silent.

Attempts outlive the connection: when a new one opens they are resumed on it,
and only when none can be made for long is the target taken as lost.
*/
import {WebSocket} from 'ws';
import type {ConfigurationReplica} from '../configuration/configuration-replica.js';
import type {
	AttemptMessage, AttemptUnknownMessage, FinishedMessage, HelloMessage, Load, Message, OutputMessage, RefusedMessage,
} from '../generated/messages.js';
import {Link} from '../links/link.js';
import {clock} from '../shared/clock.js';
import {logger} from '../shared/logger.js';
import type {Metrics} from '../shared/metrics.js';

const connectMilliseconds = 1000;
const retryMilliseconds = 150;
/** Pause between tries when no attempt waits for the connection. */
const warmRetryMilliseconds = 1000;
const lostMilliseconds = 6000;
/** A sidecar's word that an attempt never ran counts only while it surely remembers. */
const rememberedMilliseconds = 60_000;
const protocol = 1;

type AttemptListener = {
	readonly onSent: () => void;
	readonly onUnsent: () => void;
	readonly onReplaced: () => void;
	readonly onUnknown: (certainlyNotRun: boolean) => void;
	readonly onLost: () => void;
	readonly onMessage: (message: Message) => void;
};
type LiveAttempt = {readonly message: AttemptMessage; readonly listener: AttemptListener; readonly startedAt: number; sentTo: string | undefined};

type TargetLinkOptions = {
	readonly target: string;
	readonly address: string;
	readonly process: string;
	readonly incarnation: string;
	readonly keeper: ConfigurationReplica;
	readonly metrics: Metrics;
	readonly onLoad: (load: Load) => void;
	readonly onControl: (message: Message) => void;
	readonly onFailure: () => void;
};

const log = logger.child({module: 'target-link'});

/**
One sidecar as the gateway reaches it.

@example
```
const link = new TargetLink(options);
link.start(message, listener);
```
*/
export class TargetLink {
	/** Keeps the connection open without work, for gossip and orders. */
	isWarm = false;
	readonly #options: TargetLinkOptions;
	readonly #attempts = new Map<string, LiveAttempt>();
	#peerGeneration = 0;
	#link: Link | undefined;
	#peerIncarnation: string | undefined;
	#connectingSince: number | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isDialling = false;
	#closed = false;

	constructor(options: TargetLinkOptions) {
		this.#options = options;
	}

	get isOpen(): boolean {
		return this.#link?.isOpen === true && this.#peerIncarnation !== undefined;
	}

	/** The start of the sidecar process that the open link leads to. */
	get peerIncarnation(): string | undefined {
		return this.#peerIncarnation;
	}

	/** Configuration generation that the sidecar last said to have in force. */
	get peerGeneration(): number {
		return this.#peerGeneration;
	}

	get address(): string {
		return this.#options.address;
	}

	get hasAttempts(): boolean {
		return this.#attempts.size > 0;
	}

	/** Sends an attempt now or as soon as a connection opens. */
	start(message: AttemptMessage, listener: AttemptListener): void {
		const attempt: LiveAttempt = {
			message, listener, startedAt: clock(), sentTo: undefined,
		};
		this.#attempts.set(message.attemptId, attempt);
		if (this.isOpen) {
			this.#sendAttempt(attempt);
			return;
		}

		this.#connectNow();
	}

	/** Forgets an attempt that has ended. */
	end(attemptId: string): void {
		this.#attempts.delete(attemptId);
	}

	/** False when no connection is open. */
	send(message: Message): boolean {
		return this.isOpen && this.#link?.send(message) === true;
	}

	/** Opens the connection unless it is open or opening. */
	connect(): void {
		if (this.#closed || this.#link !== undefined || this.#timer !== undefined) {
			return;
		}

		this.#connectingSince ??= clock();
		this.#isDialling = true;
		const socket = new WebSocket(`ws://${this.#options.address}`, {handshakeTimeout: connectMilliseconds, perMessageDeflate: false});
		const onFailed = (): void => {
			socket.removeAllListeners();
			socket.on('error', () => {/* Already given up. */});
			socket.terminate();
			this.#isDialling = false;
			this.#retryLater();
		};

		socket.once('error', onFailed);
		socket.once('open', () => {
			socket.removeListener('error', onFailed);
			this.#opened(socket);
		});
		this.#timer = setTimeout(onFailed, connectMilliseconds + retryMilliseconds);
	}

	/** Ends the connection for good. */
	close(): void {
		this.#closed = true;
		clearTimeout(this.#timer);
		this.#link?.close('no longer needed');
		for (const attempt of this.#attempts.values()) {
			this.#giveUp(attempt);
		}
	}

	/** Connects without waiting out the pause between two tries. */
	#connectNow(): void {
		if (!this.#isDialling) {
			clearTimeout(this.#timer);
			this.#timer = undefined;
		}

		this.connect();
	}

	#opened(socket: WebSocket): void {
		this.#isDialling = false;
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#closed) {
			socket.terminate();
			return;
		}

		const link = new Link(socket, {
			onMessage: message => {
				this.#receive(message);
			},
			onClosed: reason => {
				this.#linkClosed(reason);
			},
			isKeptOpen: () => this.isWarm,
			hasWork: () => this.#attempts.size > 0,
			onBytes: (direction, bytes) => {
				this.#options.metrics.count(`link.bytes.${direction}`, bytes);
			},
		});
		this.#link = link;
		link.send({
			kind: 'hello', protocol, process: this.#options.process, incarnation: this.#options.incarnation, generation: this.#options.keeper.generation,
		});
	}

	#receive(message: Message): void {
		switch (message.kind) {
			case 'hello': {
				this.#greeted(message);
				break;
			}

			case 'generation': {
				this.#peerGeneration = message.generation;
				this.#options.keeper.receiveGeneration(this, message.generation);
				break;
			}

			case 'configuration': {
				this.#peerGeneration = message.generation;
				this.#options.keeper.receive(message.document, 'peer', this);
				break;
			}

			case 'load': {
				this.#options.onLoad(message.load);
				break;
			}

			case 'refused':
			case 'finished':
			case 'output': {
				this.#answered(message);
				break;
			}

			case 'attempt unknown': {
				this.#denied(message);
				break;
			}

			case 'fence raised':
			case 'order result': {
				this.#options.onLoad(message.load);
				this.#options.onControl(message);
				break;
			}

			case 'heartbeat':
			case 'attempt':
			case 'resume':
			case 'acknowledge':
			case 'cancel':
			case 'raise fence':
			case 'order': {
				this.#options.metrics.count('link.unexpected-message');
				break;
			}
		}
	}

	#greeted({incarnation, load, generation}: HelloMessage): void {
		this.#connectingSince = undefined;
		this.#peerIncarnation = incarnation;
		this.#peerGeneration = generation;
		if (load !== undefined) {
			this.#options.onLoad(load);
		}

		this.#options.keeper.addPeer(this, generation);
		this.#resumeAll();
	}

	#answered(message: RefusedMessage | FinishedMessage | OutputMessage): void {
		if (message.kind !== 'output') {
			this.#options.onLoad(message.load);
		}

		const attempt = this.#attempts.get(message.attemptId);
		if (attempt === undefined) {
			this.#options.metrics.count('answer.dropped.no-live-attempt');
		}

		attempt?.listener.onMessage(message);
	}

	#denied({attemptId, mayHaveRun}: AttemptUnknownMessage): void {
		const attempt = this.#attempts.get(attemptId);
		const isRemembered = attempt !== undefined && clock() - attempt.startedAt < rememberedMilliseconds;
		attempt?.listener.onUnknown(isRemembered && !mayHaveRun && attempt.sentTo === this.#peerIncarnation);
	}

	/** Sends what was waiting for the connection and resumes what was under way. */
	#resumeAll(): void {
		for (const attempt of this.#attempts.values()) {
			if (attempt.sentTo === undefined) {
				this.#sendAttempt(attempt);
			} else {
				attempt.listener.onReplaced();
			}
		}
	}

	#sendAttempt(attempt: LiveAttempt): void {
		const elapsed = clock() - attempt.startedAt;
		const remainingMilliseconds = attempt.message.remainingMilliseconds - elapsed;
		if (this.#link?.send({...attempt.message, remainingMilliseconds}) === true) {
			attempt.sentTo = this.#peerIncarnation;
			attempt.listener.onSent();
		}
	}

	#linkClosed(reason: string): void {
		const isFailure = reason !== 'idle' && !this.#closed;
		this.#options.keeper.removePeer(this);
		this.#link = undefined;
		this.#peerIncarnation = undefined;
		if (isFailure) {
			this.#options.metrics.count('link.replaced');
			log.warn({target: this.#options.target, reason, attempts: this.#attempts.size}, 'link closed');
			this.#retryLater();
		}
	}

	/** Tries to connect again while anything needs the connection. */
	#retryLater(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#connectingSince ??= clock();
		const elapsed = clock() - this.#connectingSince;
		const unsent = [...this.#attempts.values()].filter(attempt => attempt.sentTo === undefined && clock() - attempt.startedAt >= retryMilliseconds);
		for (const attempt of unsent) {
			this.#options.onFailure();
			this.#giveUp(attempt);
		}

		if (elapsed > lostMilliseconds) {
			this.#options.onFailure();
			for (const attempt of this.#attempts.values()) {
				this.#giveUp(attempt);
			}
		}

		if (this.#closed || (this.#attempts.size === 0 && !this.isWarm)) {
			this.#connectingSince = undefined;
			return;
		}

		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.connect();
		}, this.#attempts.size > 0 ? retryMilliseconds : warmRetryMilliseconds);
	}

	#giveUp(attempt: LiveAttempt): void {
		this.#attempts.delete(attempt.message.attemptId);
		if (attempt.sentTo === undefined) {
			attempt.listener.onUnsent();
		} else {
			attempt.listener.onLost();
		}
	}
}
