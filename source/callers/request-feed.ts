/**
Hands the bytes of one caller's connection to the HTTP parser, one request at a time.

The parser begins all requests of the bytes that it gets, and Node.js stops reading only once many
bytes of answers wait. Here the bytes after a request wait until it is answered, and the connection is
not read meanwhile. What waits is one or two reads of the socket.
*/
import type {Socket} from 'node:net';
import {ChunkJoiner} from '../decisions/callers/chunk-joiner.js';
import {MessageCutter} from '../decisions/callers/message-cutter.js';
import type {FeedOwner} from './feed-owner.js';
import type {RequestArrival} from './request-arrival.js';

/** What a request brings: its framing, and what to do when it is given up. */
type BegunRequest = {
	/** Bytes of its body; undefined for a chunked one. */
	readonly bodyBytes: number | undefined;
	/** True once its answer is complete, which its caller may not have read. */
	readonly isAnswered: () => boolean;
	/** Refuses the request while it has not arrived whole, because the gateway holds too much. */
	readonly refuse: () => void;
};

type Parse = (bytes: Uint8Array) => void;

/** Bytes of a chunked body that are parsed in one go. */
const maxPieceBytes = 4096;
/** Chunks in one such piece from which on the connection waits for a turn to go on, because each costs work of its own. */
const maxChunksWithoutTurn = 64;
/** Time without bytes after which a request that has not arrived whole goes first when memory is taken back. */
const stalledMilliseconds = 1000;
/** Time for a caller to read a refusal before its connection is closed. */
const lingerMilliseconds = 500;
/** Smaller holdings are not counted; they are bounded by the number of connections. */
const countedBytes = 4096;

/**
One instance a connection, created when the HTTP server has set the connection up.

Invariants: the parser is handed no byte of a request before the answer to the one before it has been written;
each step hands over bytes, or closes the connection.

@example
```
const feed = new RequestFeed(socket, owner);
feed.begin({bodyBytes: 0, isAnswered: () => answer.isDone, refuse});
feed.completeBody(0);
feed.end();
```
*/
export class RequestFeed {
	readonly address: string;
	/** When bytes last came, or were handed over, on the gateway's monotonic clock. */
	activeAt: number;
	#state: 'between' | 'body' | 'answering' | 'stopped' = 'between';
	#request: BegunRequest | undefined;
	#hasBrought = false;
	/** Bytes of the body that are still to come; undefined for a chunked one. */
	#remaining: number | undefined;
	/** Chunks of the body, of all requests. */
	#chunks = 0;
	#headBytes = 0;
	#heldBodyBytes = 0;
	#pending: Uint8Array[] = [];
	#offset = 0;
	#pendingBytes = 0;
	#isHeld = false;
	#isRunning = false;
	/** True while the connection waits for its turn: its next request came before the answer to the one before it, or its body is cut finely. */
	#needsTurn = false;
	#isSentAhead = false;
	readonly #owner: FeedOwner<RequestFeed>;
	readonly #cutter = new MessageCutter();
	readonly #joiner = new ChunkJoiner();
	readonly #parse: Parse;
	readonly #resumeSocket: () => Socket;

	constructor(readonly socket: Socket, owner: FeedOwner<RequestFeed>) {
		this.#owner = owner;
		this.address = socket.remoteAddress ?? '';
		this.activeAt = owner.now();
		// The HTTP server has just added its own listener. Another one makes it hand over its bytes here rather than to the parser.
		const [parse] = socket.listeners('data') as [Parse];
		socket.removeListener('data', parse);
		this.#parse = parse;
		socket.on('data', (bytes: Uint8Array) => {
			this.#receive(bytes);
		});
		this.#resumeSocket = socket.resume.bind(socket);
		// The HTTP server resumes the socket after each message, whether its bytes can be taken or not.
		socket.resume = () => this.#isHeld ? socket : this.#resumeSocket();
		socket.once('close', () => {
			this.#close();
		});
	}

	/** What the connection is doing, for the choice of a connection to close. */
	get phase(): 'silent' | 'idle' | 'incoming' | 'answered' | 'running' {
		if (this.#state === 'between') {
			return this.#headBytes > 0 ? 'incoming' : (this.#hasBrought ? 'idle' : 'silent');
		}

		if (this.#state === 'body') {
			return 'incoming';
		}

		return this.#request?.isAnswered() === false ? 'running' : 'answered';
	}

	/** How the present request came. */
	get arrival(): RequestArrival {
		return {at: this.activeAt, isSentAhead: this.#isSentAhead};
	}

	/** Bytes that have been read and not handed over. */
	get pendingBytes(): number {
		return this.#pendingBytes;
	}

	/** The head of a request has been parsed. */
	begin(request: BegunRequest): void {
		this.#request = request;
		this.#hasBrought = true;
		this.#remaining = request.bodyBytes;
		this.#headBytes = 0;
		// A body counts as what it is announced to be, so that one for which there is no room is refused before it is read.
		this.#heldBodyBytes = request.bodyBytes ?? 0;
		this.#state = 'body';
		if (request.bodyBytes === undefined) {
			this.#joiner.begin();
		}
	}

	/** A piece of the body was parsed; all of it holds this many bytes of memory. */
	takeBody(bytes: number, heldBytes: number): void {
		this.#chunks++;
		this.#remaining = this.#remaining === undefined ? undefined : this.#remaining - bytes;
		this.#heldBodyBytes = Math.max(this.#heldBodyBytes, heldBytes);
	}

	/** True when nothing has come for a while of what is to come. */
	isStalled(now: number): boolean {
		return this.#pendingBytes === 0 && now - this.activeAt > stalledMilliseconds;
	}

	/** The body has arrived whole. */
	completeBody(): void {
		if (this.#state === 'body') {
			this.#state = 'answering';
		}
	}

	/** The answer has been written, or its connection has ended. */
	end(): void {
		this.#request = undefined;
		this.#heldBodyBytes = 0;
		this.#owner.setHolding(this, 'accepted', 0);
		this.#owner.setHolding(this, 'answer', 0);
		if (this.#state === 'stopped') {
			return;
		}

		this.#state = 'between';
		this.#isSentAhead = this.#pendingBytes > 0;
		if (this.#isSentAhead) {
			this.#askForTurn();
		}
	}

	/** Counts what the caller has not read of its answer. */
	setUnread(bytes: number): void {
		this.activeAt = this.#owner.now();
		this.#owner.setHolding(this, 'answer', bytes < countedBytes ? 0 : bytes);
		this.#owner.enforceSoon();
	}

	/**
	Reads nothing more: the connection is closed after the present answer.

	A connection that is closed while bytes of its caller are unread is reset, and the caller may lose the
	answer. So it is ended first, and closed after a time in which the caller can read the answer.
	*/
	stop(): void {
		this.#state = 'stopped';
		this.#heldBodyBytes = 0;
		this.#dropPending();
		this.#owner.setHolding(this, 'incoming', 0);
		this.#hold();
		const {socket} = this;
		socket.destroySoon = () => {
			socket.end();
			setTimeout(() => {
				socket.destroy();
			}, lingerMilliseconds);
		};
	}

	/** Gives up what the connection holds: refuses a request that has not arrived whole, or closes the connection. Returns which. */
	giveUp(): 'refused' | 'closed' {
		if (this.#state === 'body' && this.#request !== undefined) {
			this.#request.refuse();
			return 'refused';
		}

		this.socket.destroy();
		return 'closed';
	}

	/** Goes on after the connection has waited for its turn. */
	takeTurn(): void {
		this.#needsTurn = false;
		this.activeAt = this.#owner.now();
		this.run();
	}

	/** Hands over what may be handed over. */
	run(): void {
		// The parser's handlers may call back.
		if (this.#isRunning || this.socket.destroyed) {
			return;
		}

		this.#isRunning = true;
		while (this.#pendingBytes > 0 && this.#mayGoOn()) {
			this.#handOver();
		}

		this.#isRunning = false;
		if (this.#pendingBytes > 0) {
			this.#hold();
		} else {
			this.#release();
		}

		this.#report();
	}

	#mayGoOn(): boolean {
		return !this.#needsTurn && !this.socket.destroyed && (this.#state === 'body' || this.#state === 'between');
	}

	#receive(bytes: Uint8Array): void {
		if (this.#state === 'stopped') {
			return;
		}

		this.activeAt = this.#owner.now();
		this.#pending.push(bytes);
		this.#pendingBytes += bytes.length;
		this.run();
	}

	/** Hands over the bytes up to where the request may end; closes the connection if by what was announced it has ended, and the parser waits for more. */
	#handOver(): void {
		const bytes = this.#pending[0]!;
		const isInBody = this.#state === 'body';
		const end = this.#cut(bytes);
		if (end <= this.#offset) {
			this.#owner.closeMisread(this);
			return;
		}

		const piece = this.#offset === 0 && end === bytes.length ? bytes : bytes.subarray(this.#offset, end);
		this.#take(bytes, end);
		if (!isInBody) {
			this.#headBytes += piece.length;
			this.#parse(piece);
			return;
		}

		const formerChunks = this.#chunks;
		this.#parse(this.#remaining === undefined ? this.#joiner.join(piece) : piece);
		if (this.#state === 'body' && this.#chunks - formerChunks > maxChunksWithoutTurn) {
			this.#askForTurn();
		}
	}

	#askForTurn(): void {
		this.#needsTurn = true;
		this.#owner.askForTurn(this);
	}

	#cut(bytes: Uint8Array): number {
		if (this.#state === 'body' && this.#remaining !== undefined) {
			this.#cutter.reset();
			return Math.min(bytes.length, this.#offset + this.#remaining);
		}

		return this.#cutter.next(bytes, this.#offset, this.#state === 'body' ? maxPieceBytes : undefined);
	}

	#take(bytes: Uint8Array, end: number): void {
		this.#pendingBytes -= end - this.#offset;
		this.#offset = end;
		if (end === bytes.length) {
			this.#pending.shift();
			this.#offset = 0;
		}
	}

	#report(): void {
		if (this.#state === 'stopped') {
			return;
		}

		const isAccepted = this.#state === 'answering';
		const incoming = this.#pendingBytes + this.#headBytes + (isAccepted ? 0 : this.#heldBodyBytes);
		const accepted = isAccepted ? this.#heldBodyBytes : 0;
		this.#owner.setHolding(this, 'incoming', incoming < countedBytes ? 0 : incoming);
		this.#owner.setHolding(this, 'accepted', accepted < countedBytes ? 0 : accepted);
		this.#owner.enforce();
	}

	#hold(): void {
		if (!this.#isHeld) {
			this.#isHeld = true;
			this.socket.pause();
		}
	}

	#release(): void {
		if (this.#isHeld) {
			this.#isHeld = false;
			this.#resumeSocket();
		}
	}

	#dropPending(): void {
		this.#pending = [];
		this.#offset = 0;
		this.#pendingBytes = 0;
	}

	#close(): void {
		this.#state = 'stopped';
		this.#dropPending();
		this.#owner.remove(this);
	}
}
