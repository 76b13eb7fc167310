/**
Decides which waiting prompt is sent next, and which is turned away.

The load it answers: for seconds at a time more long prompts arrive than all
engines can read. Sent on as they come, each waits behind all before it: every
answer is late, and engines read for callers who have gone. So an engine gets
work for a few tenths of a second only, and the rest waits here, where it can
still be chosen from: first what can still be on time, the most urgent first;
then, while engines have room to spare, what will be late, the one whose caller
gives up soonest. What cannot be begun before its caller gives up is turned away
at once, with the time when there will be room.
*/
import * as option from 'fp-ts/lib/Option.js';
import {rendezvousOrder} from '../routing/rendezvous-order.js';
import {hasRoom} from './engine-room.js';
import {engineSpeed} from './engine-speed.js';
import type {EngineView} from './engine-view.js';
import {placePrompt} from './place-prompt.js';
import type {PromptPlacement} from './prompt-placement.js';
import type {WaitingPrompt} from './waiting-prompt.js';

/** Reading from which a prompt counts as long. */
const longReadMilliseconds = 25;
/** A decode engine that runs more than this takes no long prompt in place. */
const mostRunningForLongRead = 20;
/** Time from the end of reading to the first event, at engines and on the way. */
const firstEventMilliseconds = 190;
/** Time before the caller gives up at which a late prompt must be begun: short ones, and long ones, whose reading is seldom alone. */
const lateMargin = {short: 500, long: 900} as const;

/** Part of a prefill engine's reading that a decode engine does beside its own work. */
const decodeReaderPart = 0.3;
/** Part of the decode engines that read in place while there are prefill engines. */
const readingPart = 0.4;
/** Prompts looked at for each choice, so that a long queue does not cost more the longer it is. */
const mostCompared = 12;

type QueueContext = {
	/** All engines of the service that may be used. */
	readonly engines: readonly EngineView[];
	readonly availabilityZone: string;
	readonly bytesPerToken: number;
	readonly linkMegabitsPerSecond: number;
	/** Decode engines that read in place while there are prefill engines, as `readingMakers` gives them. */
	readonly reading: ReadonlySet<string>;
	/** Tokens of a prompt's shared parts that an engine is believed to keep. */
	readonly kept: (prompt: WaitingPrompt, engine: string) => number;
};

type Lane = 'onTime' | 'late';

type Choice = {readonly prompt: WaitingPrompt; readonly placement: PromptPlacement; readonly lane: Lane};

/** Time that reading a prompt will take an idle prefill engine, wherever it is read. */
const readOf = (prompt: WaitingPrompt, context: QueueContext): number => {
	const kept = prompt.sharedTokens === 0 ? 0 : context.engines.reduce((most, {id}) => Math.max(most, context.kept(prompt, id)), 0);
	return engineSpeed.read(Math.max(1, prompt.tokens - kept), kept);
};

/**
Engines with room for a lane, found once for all prompts that wait.

Reading in place makes each token of the others beside it take three times as
long, so while there are prefill engines only some decode engines read: the
others stay quick for long answers, which else miss their deadline.
*/
type Room = {
	/** Prefill engines, and the decode engines that read. */
	readonly readers: readonly EngineView[];
	/** Of these, the ones that may read long prompts. */
	readonly longReaders: readonly EngineView[];
	/** All engines with room. */
	readonly all: readonly EngineView[];
};

/** Decode engines that read in place, the same at every gateway; to be found once for a list of engines. */
const readingMakers = (engines: ReadonlyArray<Pick<EngineView, 'id' | 'role'>>): ReadonlySet<string> => {
	const makers = engines.filter(({role}) => role === 'decode').map(({id}) => id);
	const count = makers.length === engines.length ? makers.length : Math.ceil(makers.length * readingPart);
	return new Set(rendezvousOrder('reads in place', makers).slice(0, count));
};

const roomOf = ({engines, reading}: QueueContext, lane: Lane): Room => {
	const all = engines.filter(engine => hasRoom(engine, lane));
	const readers = all.filter(({role, id}) => role === 'prefill' || reading.has(id));
	return {all, readers, longReaders: readers.filter(({role, attempts}) => role === 'prefill' || attempts <= mostRunningForLongRead)};
};

/** Places a prompt among engines with room; none when it has to wait. */
const place = (prompt: WaitingPrompt, room: Room, context: QueueContext, isGood: (placement: PromptPlacement) => boolean): option.Option<PromptPlacement> => {
	const placeContext = {
		...context, known: context.engines, kept: (engine: string) => context.kept(prompt, engine), avoid: prompt.avoid,
	};
	const among = (engines: readonly EngineView[]): option.Option<PromptPlacement> => {
		const placement = engines.length === 0 ? option.none : placePrompt(prompt, {...placeContext, engines});
		return option.isSome(placement) && isGood(placement.value) ? placement : option.none;
	};

	if (prompt.isInPlaceOnly) {
		return among(room.all.filter(({role}) => role === 'decode'));
	}

	const first = among(room.readers);
	const isShort = readOf(prompt, context) < longReadMilliseconds;
	if (isShort) {
		return option.isSome(first) ? first : among(room.all);
	}

	return option.isSome(first) && first.value.way === 'in place' ? among(room.longReaders) : first;
};

const firstPlaced = (prompts: readonly WaitingPrompt[], lane: Lane, context: QueueContext, isGood: (prompt: WaitingPrompt, placement: PromptPlacement) => boolean): option.Option<Choice> => {
	const room = roomOf(context, lane);
	if (room.all.length === 0) {
		return option.none;
	}

	for (const prompt of prompts.slice(0, mostCompared)) {
		const placement = place(prompt, room, context, candidate => isGood(prompt, candidate));
		if (option.isSome(placement)) {
			return option.some({prompt, placement: placement.value, lane});
		}
	}

	return option.none;
};

const byUrgency = (first: WaitingPrompt, second: WaitingPrompt): number => first.priority - second.priority || first.aimAt - second.aimAt;

/** The prompt to send now and where, none when all have to wait. */
const next = (waiting: readonly WaitingPrompt[], context: QueueContext, now: number): option.Option<Choice> => {
	const timely = waiting.filter(({aimAt}) => now + firstEventMilliseconds < aimAt).toSorted(byUrgency);
	const onTime = firstPlaced(timely, 'onTime', context, ({aimAt}, {latency}) => now + latency + firstEventMilliseconds <= aimAt);
	if (option.isSome(onTime)) {
		return onTime;
	}

	return firstPlaced(waiting.toSorted((first, second) => first.giveUpAt - second.giveUpAt), 'late', context, () => true);
};

/** Prefill engines' worth of reading that all engines do together. */
const readers = (engines: readonly EngineView[]): number => engines
	.reduce((sum, {role}) => sum + (role === 'prefill' ? 1 : decodeReaderPart), 0);

/**
Prompts that cannot be begun before their callers give up, at the pace at which
engines read, and when each might be begun. Found as soon as they arrive, so
that nobody is held who will be turned away: the queue keeps what it can serve.
*/
const hopeless = (waiting: readonly WaitingPrompt[], context: QueueContext, gateways: number, now: number): ReadonlyArray<{readonly prompt: WaitingPrompt; readonly waitMilliseconds: number}> => {
	const pace = Math.max(decodeReaderPart, readers(context.engines)) / Math.max(1, gateways);
	const before = context.engines.reduce((sum, {readMilliseconds}) => sum + readMilliseconds, 0) / Math.max(1, context.engines.length);
	let ahead = 0;
	return waiting
		.toSorted((first, second) => first.giveUpAt - second.giveUpAt)
		.flatMap(prompt => {
			const waitMilliseconds = before + (ahead / pace);
			const read = readOf(prompt, context);
			const margin = read + (read < longReadMilliseconds ? lateMargin.short : lateMargin.long);
			const isHopeless = now + waitMilliseconds + margin > prompt.giveUpAt;
			ahead += isHopeless ? 0 : read;
			return isHopeless ? [{prompt, waitMilliseconds}] : [];
		});
};

/**
The decisions over the prompts that wait at one gateway for engines of one service.

@example
```
const chosen = promptQueue.next(waiting, context, clock());
```
*/
export const promptQueue = {next, hopeless, readingMakers} as const;
