/**
Plays cells: each is one request on a connection that has carried another, and one more request after it.
*/
import {Buffer} from 'node:buffer';
import type net from 'node:net';
import type {Test} from 'tap';
import {RawTargetStandIn} from '../../stand-ins/raw-target-stand-in.js';
import type {answerCells} from './answer-cell.js';
import {EntryFleet} from './entry-fleet.js';

type Cell = (typeof answerCells.cells)[number];

type Speaker = Cell['speaker'];

type Reply = Awaited<ReturnType<EntryFleet['ask']>>;

/** A request of a cell, with what its caller got. */
type Judged = {readonly requestId: string; readonly reply: Reply; readonly cell: Cell};

const engine = {
	slots: 8, kvCapacityTokens: 100_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};
const deadlineMilliseconds = 10_000;
/** Deadline of a request to whose answer nothing more comes. */
const silentDeadlineMilliseconds = 500;
/** Statuses with which a caller is told that its request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';

const questions = {
	'plain target': {path: '/bids/1', headers: {}, type: 'text/plain'},
	engine: {path: '/dossiers/1', headers: {'x-model': 'm', 'x-token-count': '400,50', 'x-prompt-prefix': 'aa:300,bb:100'}, type: 'text/event-stream'},
	'prefill engine': {path: '/summaries/1', headers: {'x-model': 'm', 'x-token-count': '40000,50', 'x-prompt-prefix': 'cc:39000,dd:1000'}, type: 'application/json'},
} as const;

/** The body of a sound answer, which names its request. */
const bodyOf = (speaker: Speaker, requestId: string): string => {
	switch (speaker) {
		case 'plain target': {
			return `done ${requestId}, and some more text`;
		}

		case 'engine': {
			return [1, 2, 3].map(id => `id: ${id}\ndata: ${requestId} ${id}\n\n`).join('');
		}

		case 'prefill engine': {
			return JSON.stringify({kvHandle: `h-${requestId}`, tokens: 40_000, version: 1});
		}
	}
};

const framingOf = (framing: Cell['framing'], body: string): {readonly header: readonly string[]; readonly body: string} => {
	const length = Buffer.byteLength(body);
	switch (framing) {
		case 'length': {
			return {header: [`Content-Length: ${length}`], body};
		}

		case 'chunks': {
			const half = Math.floor(length / 2);
			const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
			return {header: ['Transfer-Encoding: chunked'], body: `${chunk(body.slice(0, half))}${chunk(body.slice(half))}0\r\n\r\n`};
		}

		case 'neither': {
			return {header: ['Connection: close'], body};
		}

		case 'length too small': {
			return {header: [`Content-Length: ${length - 3}`], body};
		}

		case 'length too large': {
			return {header: [`Content-Length: ${length + 3}`], body};
		}
	}
};

/** Returns an answer cut in two where the cell says. */
const splitAnswer = ({speaker, framing, place}: Cell, requestId: string): readonly [before: string, after: string] => {
	const framed = framingOf(framing, bodyOf(speaker, requestId));
	const head = `${['HTTP/1.1 200 OK', `X-Request-Id: ${requestId}`, 'X-Response-Signature: proof', `Content-Type: ${questions[speaker].type}`, ...framed.header].join('\r\n')}\r\n\r\n`;
	const text = head + framed.body;
	const firstChunkEnd = framing === 'chunks' ? framed.body.indexOf('\r\n', framed.body.indexOf('\r\n') + 2) + 2 : Math.floor(framed.body.length / 2);
	const at = {
		'idle connection': 0,
		'before the head': 0,
		'inside the head': Math.floor(head.length / 2),
		'between head and body': head.length,
		'inside the body': head.length + firstChunkEnd,
		'after the whole answer': text.length,
	}[place];
	return [text.slice(0, at), text.slice(at)];
};

const intrusionOf = ({speaker, intrusion}: Cell, earlierId: string): string => {
	const answer = (requestId: string | undefined): string => RawTargetStandIn.answer({
		status: '200 OK', requestId, headers: [`Content-Type: ${questions[speaker].type}`], body: bodyOf(speaker, requestId ?? earlierId),
	});
	const refusal = (requestId: string | undefined): string => RawTargetStandIn.answer({
		status: '503 Service Unavailable', requestId, headers: ['X-Not-Executed: 1'], body: 'full',
	});
	switch (intrusion) {
		case 'nothing': {
			return '';
		}

		case 'the earlier answer again': {
			return answer(earlierId);
		}

		case 'an earlier refusal without an id': {
			return refusal(undefined);
		}

		case 'an earlier refusal again': {
			return refusal(earlierId);
		}

		case 'an answer of another request': {
			return answer('of-another-caller');
		}

		case 'an answer without an id': {
			return answer(undefined);
		}

		case 'interim answers': {
			return interim.repeat(3);
		}

		case 'garbage': {
			return '\u0000\u0001 no answer at all\r\n\r\n';
		}
	}
};

/** Writes what the cell says in answer to its second request. */
const writeCell = (socket: net.Socket, cell: Cell, {requestId, earlierId}: {readonly requestId: string; readonly earlierId: string}): void => {
	const [before, after] = splitAnswer(cell, requestId);
	socket.write(before + intrusionOf(cell, earlierId) + (cell.ending === 'goes on' ? after : ''), 'latin1', () => {
		if (cell.ending === 'close' || (cell.ending === 'goes on' && cell.framing === 'neither')) {
			socket.end();
		} else if (cell.ending === 'reset') {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 10);
		}
	});
};

/** What a caller may get as a whole answer: that of its request, or as much of it as a length that is too small says. */
const mayBeWhole = ({requestId, reply, cell: {speaker, framing}}: Judged): boolean => {
	const body = bodyOf(speaker === 'prefill engine' ? 'engine' : speaker, requestId);
	return reply.body === body || (speaker === 'plain target' && framing === 'length too small' && reply.body === body.slice(0, -3));
};

/**
One instance a test. It judges by what callers got and targets received.

@example
```
const player = await AnswerCellPlayer.start(t);
const problems = await player.play(cell);
```
*/
export class AnswerCellPlayer {
	static async start(t: Test): Promise<AnswerCellPlayer> {
		const fleet = await EntryFleet.start(t);
		const stream = {routeType: 'streaming', sessionAffinity: true, itlTargetMs: 300};
		fleet.configure([
			{
				name: 'bids', pathPrefix: '/bids/', routeType: 'non_idempotent', service: 'floor',
			},
			{
				name: 'dossiers', pathPrefix: '/dossiers/', service: 'models', ...stream,
			},
			{
				name: 'summaries', pathPrefix: '/summaries/', service: 'apart', ...stream,
			},
		], [{name: 'floor'}, {name: 'models', engine}, {name: 'apart', engine}]);
		const player = new AnswerCellPlayer(fleet);
		const answer: RawTargetStandIn['answer'] = (socket, request) => {
			player.#answer(socket, request);
		};

		const targets = await Promise.all([
			fleet.addRawTarget('plain', 'floor', answer),
			fleet.addRawTarget('engine', 'models', answer, {phase: 'decode'}),
			fleet.addRawTarget('prefill', 'apart', answer, {phase: 'prefill'}),
			fleet.addRawTarget('decode', 'apart', (socket, {requestId}) => {
				socket.write(RawTargetStandIn.answer({
					status: '200 OK', requestId, headers: ['Content-Type: text/event-stream'], body: bodyOf('engine', requestId),
				}));
			}, {phase: 'decode'}),
		]);
		player.#targets = targets;
		player.#gateway = await fleet.addGateway();
		return player;
	}

	#targets: readonly RawTargetStandIn[] = [];
	#gateway: Awaited<ReturnType<EntryFleet['addGateway']>> | undefined;
	#cell: Cell | undefined;
	#count = 0;
	readonly #fleet: EntryFleet;

	private constructor(fleet: EntryFleet) {
		this.#fleet = fleet;
	}

	/** Resolves with what may not happen and did. */
	async play(cell: Cell): Promise<readonly string[]> {
		this.#cell = cell;
		this.#count++;
		const problems: string[] = [];
		for (const step of ['first', 'second', 'third']) {
			const requestId = `c${this.#count}.${step}`;
			const {path, headers} = questions[cell.speaker];
			const deadline = step === 'second' && cell.ending === 'silence' ? silentDeadlineMilliseconds : deadlineMilliseconds;
			// eslint-disable-next-line no-await-in-loop
			const reply = await this.#fleet.ask(this.#gateway!, {
				path, requestId, headers: {...headers, 'x-deadline-ms': String(deadline), 'content-length': '0'},
			});
			problems.push(...this.#judge({requestId, reply, cell}).map(problem => `${problem}: ${step} request, status ${reply.status}, whole: ${reply.isWhole}, ${JSON.stringify(reply.body)}; ${JSON.stringify(cell)}`));
		}

		return problems;
	}

	/** Answers the first and the last request of a cell soundly, and the one between as the cell says. */
	#answer(socket: net.Socket, {requestId, method}: Parameters<RawTargetStandIn['answer']>[1]): void {
		const cell = this.#cell!;
		const [number = '', step = ''] = requestId.split('.');
		const sound = (): void => {
			socket.write(RawTargetStandIn.answer({
				status: '200 OK', requestId, headers: [`Content-Type: ${questions[cell.speaker].type}`], body: method === 'DELETE' ? '' : bodyOf(cell.speaker, requestId),
			}));
		};

		if (method === 'DELETE' || step !== 'second') {
			sound();
			if (step === 'first' && cell.place === 'idle connection') {
				socket.write(intrusionOf(cell, requestId), 'latin1');
			}
		} else if (cell.place === 'idle connection') {
			sound();
		} else {
			writeCell(socket, cell, {requestId, earlierId: `${number}.first`});
		}
	}

	#judge(judged: Judged): readonly string[] {
		const {requestId, reply: {status, isWhole}, cell: {speaker}} = judged;
		const runs = this.#targets.flatMap(({arrivals}) => arrivals).filter(arrival => arrival.requestId === requestId && arrival.method !== 'DELETE' && arrival.headers['x-inference-phase'] === undefined).length;
		return [
			...promises.has(status) && runs > 0 ? ['REFUSED'] : [],
			...runs > 1 ? ['TWICE'] : [],
			...status === 200 && isWhole && !mayBeWhole(judged) ? [speaker === 'plain target' ? 'MIXED' : 'ORDER'] : [],
			...status === 0 ? ['LOST'] : [],
			...requestId.endsWith('first') && status !== 200 ? ['not played: no sound answer before it'] : [],
		];
	}
}
