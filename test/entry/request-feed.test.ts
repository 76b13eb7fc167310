/**
The feed of a caller's connection goes on whatever its bytes and its parser are: it hands bytes
over, waits for something, or closes the connection.
*/
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import fc from 'fast-check';
import {test} from 'tap';
import type {FeedOwner} from '../../source/callers/feed-owner.js';
import {RequestFeed} from '../../source/callers/request-feed.js';

const seed = Number(process.env.SEED ?? 53);
const numberRuns = Number(process.env.RUNS ?? 400);

/** What a parser does with a piece that it is handed. */
type Deed =
	| {readonly kind: 'begin'; /** Undefined for a chunked body. */ readonly bodyBytes: number | undefined}
	| {readonly kind: 'take'; readonly bytes: number}
	| {readonly kind: 'complete'}
	| {readonly kind: 'answer'};

/** A socket of Node.js is an emitter. */
class FakeSocket extends EventEmitter { // eslint-disable-line unicorn/prefer-event-target
	destroyed = false;

	pause(): this {
		return this;
	}

	resume(): this {
		return this;
	}

	end(): this {
		return this;
	}

	destroy(): this {
		this.destroyed = true;
		this.emit('close');
		return this;
	}
}

class TooManySteps extends Error {}

/** Plays pieces of bytes against a parser that does one deed with each piece; returns the steps and why the connection was closed. */
const play = (pieces: readonly Uint8Array[], deeds: readonly Deed[]): {readonly steps: number; readonly reasons: readonly string[]; readonly handed: string; readonly pending: number} => {
	const socket = new FakeSocket();
	const reasons: string[] = [];
	const turns: RequestFeed[] = [];
	const left = [...deeds];
	const mostSteps = pieces.reduce((sum, {length}) => sum + length, 0) + pieces.length + 1;
	let steps = 0;
	let handed = '';
	const act = (feed: RequestFeed): void => {
		const deed = left.shift();
		if (deed === undefined) {
			// The parser waits for more.
			return;
		}

		switch (deed.kind) {
			case 'begin': {
				feed.begin({bodyBytes: deed.bodyBytes, isAnswered: () => false, refuse: () => undefined});
				return;
			}

			case 'take': {
				feed.takeBody(deed.bytes, deed.bytes);
				return;
			}

			case 'complete': {
				feed.completeBody();
				return;
			}

			case 'answer': {
				feed.completeBody();
				feed.end();
			}
		}
	};

	socket.on('data', (bytes: Uint8Array) => {
		steps++;
		if (steps > mostSteps) {
			throw new TooManySteps();
		}

		handed += Buffer.from(bytes).toString('latin1');
		act(feed);
	});
	const owner: FeedOwner<RequestFeed> = {
		now: () => 0,
		setHolding: () => undefined,
		enforce: () => undefined,
		enforceSoon: () => undefined,
		askForTurn(asking) {
			turns.push(asking);
		},
		closeMisread(misread) {
			reasons.push('misread');
			misread.socket.destroy();
		},
		remove: () => undefined,
	};
	const feed = new RequestFeed(socket as unknown as Socket, owner);
	for (const bytes of pieces) {
		socket.emit('data', bytes);
		for (let turn = turns.shift(); turn !== undefined; turn = turns.shift()) {
			turn.takeTurn();
		}
	}

	return {
		steps, reasons, handed, pending: feed.pendingBytes,
	};
};

// Guards against a loop that never ends when the feed and the parser disagree on the length of a body.
test('CONFIG: a body that the parser takes for longer than it was announced closes its connection', t => {
	const head = Buffer.from('POST / HTTP/1.1\r\n\r\n');
	const {reasons, handed} = play([head, Buffer.from('abc')], [{kind: 'begin', bodyBytes: 0}]);
	t.strictSame(reasons, ['misread']);
	t.equal(handed, head.toString('latin1'));
	const longer = play([head, Buffer.from('abcdef')], [{kind: 'begin', bodyBytes: 3}, {kind: 'take', bytes: 3}]);
	t.strictSame(longer.reasons, ['misread']);
	const beyond = play([head, Buffer.from('abcdef')], [{kind: 'begin', bodyBytes: 4}, {kind: 'take', bytes: 9}]);
	t.strictSame(beyond.reasons, ['misread']);
	t.end();
});

test('whatever comes and whatever the parser makes of it, each step hands over bytes', t => {
	const piece = fc.oneof(
		fc.uint8Array({minLength: 1, maxLength: 40}),
		fc.constantFrom('GET / HTTP/1.1\r\n\r\n', '\r\n', '\n', '1\r\na\r\n', '0\r\n\r\n', 'abc').map(text => new Uint8Array(Buffer.from(text))),
	);
	const deed: fc.Arbitrary<Deed> = fc.oneof(
		fc.record({kind: fc.constant('begin' as const), bodyBytes: fc.option(fc.nat(50), {nil: undefined})}),
		fc.record({kind: fc.constant('take' as const), bytes: fc.nat(60)}),
		fc.constant({kind: 'complete'} as const),
		fc.constant({kind: 'answer'} as const),
	);
	fc.assert(fc.property(fc.array(piece, {maxLength: 12}), fc.array(deed, {maxLength: 20}), (pieces, deeds) => {
		const total = pieces.reduce((sum, {length}) => sum + length, 0);
		const {steps, reasons, handed, pending} = play(pieces, deeds);
		// Small chunks that are joined become fewer bytes.
		return steps <= total + pieces.length && (reasons.length > 0 || handed.length + pending <= total);
	}), {seed, numRuns: numberRuns});
	t.pass();
	t.end();
});
