/**
Learns from outcomes how fast each target is, and how many calls at once it takes well.

Load: targets of one service differ in speed by a factor of up to 2.7, some slow down long
before they are full, and both change while the gateway runs. Only outcomes tell: the time of a
prefill that had nothing ahead of it, the time between events of a stream, and the time of a
call. A target's figures hold for its incarnation, and are those of an ordinary target until a
few outcomes have been seen.

Nothing is learned until a target reports how slow it is at the moment. Deployments whose targets
do not share their VMs have no such reports, and are served by the starting figures.

A target that appears beside others of different speeds gets a slow start: until some outcomes
are known it counts as slow as the slowest engine, or takes a part of its slots.
*/
import * as option from 'fp-ts/lib/Option.js';
import type {TargetRecord} from '../../fleet/target-record.js';
import {CallTimes} from './call-times.js';
import type {EngineRates} from './engine-rates.js';
import {RecentValues} from './recent-values.js';
import {relativeSpeeds} from './relative-speeds.js';
import {ReportedLoads} from './reported-loads.js';
import {ServiceRates} from './service-rates.js';
import {startingRates} from './starting-rates.js';

/** Engines get a long prompt from this gateway every few seconds only, so what they did counts longer than a call. */
const observations = {size: 32, halfLifeMilliseconds: 30_000} as const;
/** Prefills with an estimate below this are mostly set-up and network, and tell little of the speed. */
const minPrefillMilliseconds = 25;
/** Backlog ahead of a prompt, as a multiple of its own prefill, up to which its time tells the engine's speed, and up to which it tells the rates of the service. Under lasting load few prompts find an idle engine. */
const maxBacklogFactor = {speed: 1, rates: 0.15} as const;
/** Time for which the figures of a group of targets are kept. */
const figuresMilliseconds = 1000;
/** How much later than the first figures of its group a target must appear to be a new one. */
const newcomerMilliseconds = 5000;
/** Weight of observations at which a slow start ends, and the share of its slots that a plain target takes at first. */
const slowStart = {engineWeight: 3, callWeight: 8, firstShare: 0.25} as const;
/** A refused call counts as one that took this many times as long as usual, as the target was full. */
const refusalFactor = 3;

type Target = Pick<TargetRecord, 'incarnation' | 'service' | 'role' | 'slots'>;

type PrefillObservation = {
	readonly uncachedTokens: number;
	readonly cachedTokens: number;
	/** Estimate for an idle prefill engine of speed 1, and the backlog ahead of the prompt in the same measure. */
	readonly estimatedMilliseconds: number;
	readonly backlogMilliseconds: number;
	/** Time from sending to the first data of the answer. */
	readonly milliseconds: number;
};

type Capacity = {
	/** 1: as the median of the service's targets of the same role. */
	readonly speed: number;
	readonly confidence: number;
	/** Calls at once that a plain target takes well; undefined while unknown. */
	readonly limit: number | undefined;
	/** Time of a call at a target of speed 1; undefined while unknown, and for engines. */
	readonly callMilliseconds: number | undefined;
	/** How many times as long as usual work takes at this moment, and the requests in progress, by the target's own account; undefined while it has reported none. */
	readonly reported: {readonly requests: number; readonly slowdown: number} | undefined;
};

type TargetState = {
	readonly group: string;
	readonly role: Target['role'];
	readonly slots: number;
	readonly firstSeenAt: number;
	/** True once enough was observed to end a slow start, for good: a target that gets no work later is not new again. */
	isStarted: boolean;
	/** The last result, and the figures from which it was made. */
	last: {readonly figures: GroupFigures; readonly capacity: Capacity} | undefined;
	readonly times: RecentValues;
	readonly calls: CallTimes;
	readonly loads: ReportedLoads;
};

type Options = {
	/** True to learn only once a target has reported how slow it is at the moment; false when left out. */
	readonly waitsForReport?: boolean;
};

const ordinary: Capacity = {
	speed: 1, confidence: 0, limit: undefined, callMilliseconds: undefined, reported: undefined,
};

type Figures = Pick<Capacity, 'speed' | 'confidence' | 'limit'> & {readonly weight: number};

type MeasuredTarget = Parameters<typeof relativeSpeeds>[0][number] & Pick<Capacity, 'limit'>;

type GroupFigures = {
	readonly at: number;
	/** When a target of the group was first measured. */
	readonly measuredSince: number | undefined;
	readonly byTarget: ReadonlyMap<string, Figures>;
	readonly callMilliseconds: number | undefined;
	/** Speed of the slowest target; undefined while all are alike. */
	readonly slowest: number | undefined;
};

const unmeasured: Figures = {
	speed: 1, confidence: 0, limit: undefined, weight: 0,
};

const groupOf = ({service, role}: Target): string => `${role ?? 'plain'} ${service}`;

/** The target's time for a unit of work; none while it is unknown. */
const measure = (id: string, {times, calls, slots}: TargetState, now: number): readonly MeasuredTarget[] => {
	const time = times.estimate(now);
	if (option.isSome(time)) {
		return [{...time.value, id, limit: undefined}];
	}

	const model = calls.model(now);
	if (option.isNone(model)) {
		return [];
	}

	const {milliseconds, limit = slots} = model.value;
	return [{
		...model.value, id, value: milliseconds, limit: limit < slots ? limit : undefined,
	}];
};

/** A target that appeared beside others of different speeds counts as slow, or takes a part of its slots, until enough was observed. */
const withSlowStart = ({speed, limit, weight}: Figures, {role, slots, firstSeenAt, isStarted}: TargetState, {measuredSince, slowest}: GroupFigures): Pick<Capacity, 'speed' | 'limit'> => {
	const isNew = !isStarted && measuredSince !== undefined && firstSeenAt > measuredSince + newcomerMilliseconds;
	if (!isNew || slowest === undefined) {
		return {speed, limit};
	}

	const share = slowStart.firstShare + ((1 - slowStart.firstShare) * weight / slowStart.callWeight);
	return role === undefined
		? {speed, limit: Math.max(1, Math.floor(Math.min(slots, limit ?? slots) * Math.min(1, share)))}
		: {speed: Math.min(1, slowest), limit};
};

const median = (values: readonly number[]): number | undefined => values.toSorted((first, second) => first - second)[Math.floor(values.length / 2)];

/**
Times are in milliseconds on the gateway's monotonic clock.

@example
```
capacity.recordCall(target, {milliseconds: 41, running: 2}, now);
capacity.of(target, now).speed;
```
*/
export class LearnedCapacity {
	readonly #targets = new Map<string, TargetState>();
	readonly #groups = new Map<string, GroupFigures>();
	readonly #rates = new Map<string, ServiceRates>();
	#isLearning: boolean;

	constructor({waitsForReport = false}: Options = {}) {
		this.#isLearning = !waitsForReport;
	}

	/** Records a prefill on an engine; one with a long backlog ahead of it, or a short one, tells nothing. */
	recordPrefill(engine: Target, observation: PrefillObservation, now: number): void {
		const {estimatedMilliseconds, backlogMilliseconds, milliseconds} = observation;
		if (!this.#isLearning || estimatedMilliseconds < minPrefillMilliseconds || backlogMilliseconds > estimatedMilliseconds * maxBacklogFactor.speed) {
			return;
		}

		if (engine.role !== 'decode') {
			this.#state(engine, now).times.record(milliseconds / (estimatedMilliseconds + backlogMilliseconds), now);
		}

		if (backlogMilliseconds <= estimatedMilliseconds * maxBacklogFactor.rates) {
			this.#recordRates(engine, observation, now);
		}
	}

	/** Records the mean time between the events of a stream, beside other requests on the engine. */
	recordDecode(engine: Target, {gapMilliseconds, running}: {readonly gapMilliseconds: number; readonly running: number}, now: number): void {
		if (!this.#isLearning) {
			return;
		}

		const {speed} = this.of(engine, now);
		const {decodeStep} = this.rates(engine.service, now);
		this.#state(engine, now).times.record(gapMilliseconds / (decodeStep.milliseconds + (running * decodeStep.millisecondsPerRequest)), now);
		this.#ratesOf(engine.service).recordDecode({gapMilliseconds: gapMilliseconds * speed, running}, now);
	}

	/** Records a call that a plain target answered, beside others in progress there. */
	recordCall(target: Target, call: {readonly milliseconds: number; readonly running: number}, now: number): void {
		if (this.#isLearning) {
			this.#state(target, now).calls.record(call, now);
		}
	}

	/** Records that a plain target refused a call beside others in progress there. */
	recordRefusal(target: Target, running: number, now: number): void {
		const {callMilliseconds, speed} = this.of(target, now);
		if (callMilliseconds !== undefined) {
			this.#state(target, now).calls.record({milliseconds: callMilliseconds / speed * refusalFactor, running, isRefused: true}, now);
		}
	}

	/** Records the load that a target reports. */
	recordLoad(target: Target, load: Parameters<ReportedLoads['record']>[0], now: number): void {
		this.#isLearning ||= load.slowdown !== undefined;
		if (this.#isLearning) {
			this.#state(target, now).loads.record(load, now);
		}
	}

	of(target: Target, now: number): Capacity {
		if (!this.#isLearning) {
			return ordinary;
		}

		const state = this.#state(target, now);
		const group = this.#group(state.group, now);
		if (state.last?.figures !== group) {
			state.last = {figures: group, capacity: this.#capacityOf(target.incarnation, state, group)};
		}

		const {capacity} = state.last;
		const reported = target.role === undefined ? state.loads.current(now) : option.none;
		return option.isSome(reported) ? {...capacity, reported: reported.value} : capacity;
	}

	/** Rates of the service's engines. */
	rates(service: string, now: number): EngineRates {
		return this.#isLearning ? this.#ratesOf(service).current(now) : startingRates;
	}

	/** Removes what was learned of targets that are gone. */
	keepOnly(incarnations: ReadonlySet<string>): void {
		for (const incarnation of this.#targets.keys()) {
			if (!incarnations.has(incarnation)) {
				this.#targets.delete(incarnation);
			}
		}
	}

	#recordRates(engine: Target, observation: PrefillObservation, now: number): void {
		const rates = this.#ratesOf(engine.service);
		const milliseconds = observation.milliseconds * this.of(engine, now).speed;
		if (engine.role === 'decode') {
			rates.recordInPlace({estimatedMilliseconds: observation.estimatedMilliseconds, milliseconds}, now);
		} else {
			rates.recordPrefill({...observation, milliseconds}, now);
		}
	}

	#capacityOf(incarnation: string, state: TargetState, group: GroupFigures): Capacity {
		const figures = group.byTarget.get(incarnation) ?? unmeasured;
		state.isStarted ||= figures.weight >= (state.role === undefined ? slowStart.callWeight : slowStart.engineWeight);
		return {
			...withSlowStart(figures, state, group), confidence: figures.confidence, callMilliseconds: group.callMilliseconds, reported: undefined,
		};
	}

	#state(target: Target, now: number): TargetState {
		const state = this.#targets.get(target.incarnation) ?? {
			group: groupOf(target), role: target.role, slots: target.slots, firstSeenAt: now, isStarted: false, last: undefined, times: new RecentValues(observations), calls: new CallTimes(), loads: new ReportedLoads(),
		};
		this.#targets.set(target.incarnation, state);
		return state;
	}

	#ratesOf(service: string): ServiceRates {
		const rates = this.#rates.get(service) ?? new ServiceRates();
		this.#rates.set(service, rates);
		return rates;
	}

	#group(key: string, now: number): GroupFigures {
		const last = this.#groups.get(key);
		if (last !== undefined && now - last.at < figuresMilliseconds) {
			return last;
		}

		const figures = this.#compare(key, last, now);
		this.#groups.set(key, figures);
		return figures;
	}

	/** Compares the targets of one service and role. */
	#compare(key: string, last: GroupFigures | undefined, now: number): GroupFigures {
		const measured = [...this.#targets]
			.filter(([, {group}]) => group === key)
			.flatMap(([id, state]) => measure(id, state, now));
		const speeds = relativeSpeeds(measured, last?.byTarget);
		const byTarget = new Map(measured.map(({id, limit, weight}) => [id, {...speeds.get(id)!, limit, weight}]));
		const slowest = Math.min(...[...byTarget.values()].map(({speed}) => speed));
		const isAlike = [...byTarget.values()].every(({speed, limit}) => speed === 1 && limit === undefined);
		return {
			at: now,
			measuredSince: last?.measuredSince ?? (measured.length > 0 ? now : undefined),
			byTarget,
			callMilliseconds: key.startsWith('plain ') ? median(measured.map(({value}) => value)) : undefined,
			slowest: isAlike ? undefined : slowest,
		};
	}
}
