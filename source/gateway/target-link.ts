/**
Connection from a gateway to one sidecar, replaced when nothing is received on it.

Attempts outlive a connection and are resumed on the next one. The target counts as
lost only when no connection could be opened for several seconds.
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

const connectTimeoutMilliseconds = 1000;
const retryIntervalMilliseconds = 150;
/** Interval between connection tries while no attempt needs the connection. */
const idleRetryIntervalMilliseconds = 1000;
/** When no connection could be opened for this long, all attempts on the link end; the target of those already sent counts as lost. */
const targetLostTimeoutMilliseconds = 6000;
/** A sidecar keeps the record of an attempt at least this long. Later, its answer that it does not know the attempt is no proof that the attempt has not run. */
const minTombstoneLifetimeMilliseconds = 60_000;
/** Version of the protocol between gateways and sidecars. */
const protocol = 1;

type AttemptListener = {
	readonly onSent: () => void;
	/** No connection could be opened, so the attempt was never sent. */
	readonly onUnsent: () => void;
	/** A new connection is open, on which the attempt has to be resumed. */
	readonly onLinkReplaced: () => void;
	/** The sidecar does not know the attempt. */
	readonly onAttemptUnknown: (certainlyNotRun: boolean) => void;
	/** The attempt was sent, but no new connection could be opened. */
	readonly onTargetLost: () => void;
	readonly onMessage: (message: Message) => void;
};
/** `sentToIncarnation` is the incarnation of the sidecar that got the attempt, or undefined while it has not been sent. */
type LiveAttempt = {readonly message: AttemptMessage; readonly listener: AttemptListener; readonly startedAt: number; sentToIncarnation: string | undefined};

type TargetLinkOptions = {
	readonly target: string;
	readonly address: string;
	readonly process: string;
	readonly incarnation: string;
	readonly configurationReplica: ConfigurationReplica;
	readonly metrics: Metrics;
	readonly onLoad: (load: Load) => void;
	readonly onControl: (message: Message) => void;
	readonly onFailure: () => void;
};

const log = logger.child({module: 'target-link'});

/**
Link of a gateway to one sidecar, with the attempts in progress there.

@example
```
const link = new TargetLink(options);
link.startAttempt(message, listener);
```
*/
export class TargetLink {
	/** True when the connection stays open without work, for configuration gossip and orders. */
	isPersistent = false;
	readonly #options: TargetLinkOptions;
	readonly #attempts = new Map<string, LiveAttempt>();
	#peerGeneration = 0;
	#link: Link | undefined;
	#peerIncarnation: string | undefined;
	#connectingSince: number | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isConnecting = false;
	#isClosed = false;

	constructor(options: TargetLinkOptions) {
		this.#options = options;
	}

	get isOpen(): boolean {
		return this.#link?.isOpen === true && this.#peerIncarnation !== undefined;
	}

	/** Incarnation of the sidecar process at the other end of the open link. */
	get peerIncarnation(): string | undefined {
		return this.#peerIncarnation;
	}

	/** Generation of the configuration in force at the sidecar, as it last reported. */
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
	startAttempt(message: AttemptMessage, listener: AttemptListener): void {
		const attempt: LiveAttempt = {
			message, listener, startedAt: clock(), sentToIncarnation: undefined,
		};
		this.#attempts.set(message.attemptId, attempt);
		if (this.isOpen) {
			this.#sendAttempt(attempt);
			return;
		}

		this.#connectNow();
	}

	/** Removes an attempt that has ended. */
	removeAttempt(attemptId: string): void {
		this.#attempts.delete(attemptId);
	}

	/** Sends a message. Returns false when no connection is open. */
	send(message: Message): boolean {
		return this.isOpen && this.#link?.send(message) === true;
	}

	/** Opens the connection, unless it is open, is being opened, or the next try is scheduled. */
	connect(): void {
		if (this.#isClosed || this.#link !== undefined || this.#timer !== undefined) {
			return;
		}

		this.#connectingSince ??= clock();
		this.#isConnecting = true;
		const socket = new WebSocket(`ws://${this.#options.address}`, {handshakeTimeout: connectTimeoutMilliseconds, perMessageDeflate: false});
		const onFailed = (): void => {
			socket.removeAllListeners();
			socket.on('error', () => {/* The failure has already been handled. */});
			socket.terminate();
			this.#isConnecting = false;
			this.#scheduleReconnect();
		};

		socket.once('error', onFailed);
		socket.once('open', () => {
			socket.removeListener('error', onFailed);
			this.#handleOpen(socket);
		});
		this.#timer = setTimeout(onFailed, connectTimeoutMilliseconds + retryIntervalMilliseconds);
	}

	/** Closes the link for good and ends its attempts. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		this.#link?.close('no longer needed');
		for (const attempt of this.#attempts.values()) {
			this.#abandonAttempt(attempt);
		}
	}

	/** Connects at once instead of waiting for the next scheduled try. */
	#connectNow(): void {
		if (!this.#isConnecting) {
			clearTimeout(this.#timer);
			this.#timer = undefined;
		}

		this.connect();
	}

	#handleOpen(socket: WebSocket): void {
		this.#isConnecting = false;
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#isClosed) {
			socket.terminate();
			return;
		}

		const link = new Link(socket, {
			onMessage: message => {
				this.#receive(message);
			},
			onClosed: reason => {
				this.#handleClosed(reason);
			},
			isKeptOpen: () => this.isPersistent,
			hasWork: () => this.#attempts.size > 0,
			onBytes: (direction, bytes) => {
				this.#options.metrics.count(`link.bytes.${direction}`, bytes);
			},
		});
		this.#link = link;
		link.send({
			kind: 'hello', protocol, process: this.#options.process, incarnation: this.#options.incarnation, generation: this.#options.configurationReplica.generation,
		});
	}

	#receive(message: Message): void {
		switch (message.kind) {
			case 'hello': {
				this.#handleHello(message);
				break;
			}

			case 'generation': {
				this.#peerGeneration = message.generation;
				this.#options.configurationReplica.receiveGeneration(this, message.generation);
				break;
			}

			case 'configuration': {
				this.#peerGeneration = message.generation;
				this.#options.configurationReplica.receive(message.document, 'peer', this);
				break;
			}

			case 'load': {
				this.#options.onLoad(message.load);
				break;
			}

			case 'refused':
			case 'finished':
			case 'output': {
				this.#handleAttemptMessage(message);
				break;
			}

			case 'attempt unknown': {
				this.#handleAttemptUnknown(message);
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

	#handleHello({incarnation, load, generation}: HelloMessage): void {
		this.#connectingSince = undefined;
		this.#peerIncarnation = incarnation;
		this.#peerGeneration = generation;
		if (load !== undefined) {
			this.#options.onLoad(load);
		}

		this.#options.configurationReplica.addPeer(this, generation);
		this.#sendOrResumeAttempts();
	}

	#handleAttemptMessage(message: RefusedMessage | FinishedMessage | OutputMessage): void {
		if (message.kind !== 'output') {
			this.#options.onLoad(message.load);
		}

		const attempt = this.#attempts.get(message.attemptId);
		if (attempt === undefined) {
			this.#options.metrics.count('answer.dropped.no-live-attempt');
		}

		attempt?.listener.onMessage(message);
	}

	#handleAttemptUnknown({attemptId, mayHaveRun}: AttemptUnknownMessage): void {
		const attempt = this.#attempts.get(attemptId);
		const isTombstoneKept = attempt !== undefined && clock() - attempt.startedAt < minTombstoneLifetimeMilliseconds;
		attempt?.listener.onAttemptUnknown(isTombstoneKept && !mayHaveRun && attempt.sentToIncarnation === this.#peerIncarnation);
	}

	/** Sends the attempts that waited for the connection, and has the others resumed. */
	#sendOrResumeAttempts(): void {
		for (const attempt of this.#attempts.values()) {
			if (attempt.sentToIncarnation === undefined) {
				this.#sendAttempt(attempt);
			} else {
				attempt.listener.onLinkReplaced();
			}
		}
	}

	#sendAttempt(attempt: LiveAttempt): void {
		const elapsed = clock() - attempt.startedAt;
		const remainingMilliseconds = attempt.message.remainingMilliseconds - elapsed;
		if (this.#link?.send({...attempt.message, remainingMilliseconds}) === true) {
			attempt.sentToIncarnation = this.#peerIncarnation;
			attempt.listener.onSent();
		}
	}

	#handleClosed(reason: string): void {
		const isFailure = reason !== 'idle' && !this.#isClosed;
		this.#options.configurationReplica.removePeer(this);
		this.#link = undefined;
		this.#peerIncarnation = undefined;
		if (isFailure) {
			this.#options.metrics.count('link.replaced');
			log.warn({target: this.#options.target, reason, attempts: this.#attempts.size}, 'link closed');
			this.#scheduleReconnect();
		}
	}

	/**
	Schedules the next connection try, unless neither attempts nor persistence need a connection.

	Attempts that waited for the failed connection end as unsent, so that another target can be tried.
	Attempts that were sent end only when the target counts as lost.
	*/
	#scheduleReconnect(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#connectingSince ??= clock();
		const elapsed = clock() - this.#connectingSince;
		const unsent = [...this.#attempts.values()].filter(attempt => attempt.sentToIncarnation === undefined && clock() - attempt.startedAt >= retryIntervalMilliseconds);
		for (const attempt of unsent) {
			this.#options.onFailure();
			this.#abandonAttempt(attempt);
		}

		if (elapsed > targetLostTimeoutMilliseconds) {
			this.#options.onFailure();
			for (const attempt of this.#attempts.values()) {
				this.#abandonAttempt(attempt);
			}
		}

		if (this.#isClosed || (this.#attempts.size === 0 && !this.isPersistent)) {
			this.#connectingSince = undefined;
			return;
		}

		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.connect();
		}, this.#attempts.size > 0 ? retryIntervalMilliseconds : idleRetryIntervalMilliseconds);
	}

	#abandonAttempt(attempt: LiveAttempt): void {
		this.#attempts.delete(attempt.message.attemptId);
		if (attempt.sentToIncarnation === undefined) {
			attempt.listener.onUnsent();
		} else {
			attempt.listener.onTargetLost();
		}
	}
}
