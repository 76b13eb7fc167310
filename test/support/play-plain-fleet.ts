/**
Plays calls of many gateways at the targets of one plain service, in virtual time.
*/
import * as option from 'fp-ts/lib/Option.js';
import {digestPace} from '../../source/decisions/entry/store/digest-pace.js';
import {placeCall} from '../../source/decisions/entry/targets/place-call.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';
import type {CapacityMethod} from './capacity-method.js';
import {SeededChance} from './seeded-chance.js';
import {SlowingTarget} from './slowing-target.js';
import {VirtualTime} from './virtual-time.js';

type TargetKind = {readonly speed: number; readonly slots: number; readonly knee: number};

type PlayOptions = {
	readonly seed: number;
	readonly gateways: number;
	readonly targets: readonly TargetKind[];
	readonly callsPerSecond: number;
	readonly seconds: number;
	/** Calls that arrive before this time are not counted. */
	readonly warmUpSeconds: number;
	readonly slowShare: number;
	/** False when targets report no load. */
	readonly reportsLoad: boolean;
	readonly createMethod: () => CapacityMethod;
	/** Called once, in the middle of the play. */
	readonly onHalfTime?: (targets: readonly SlowingTarget[]) => void;
};

type Played = {
	readonly mean: number;
	readonly p95: number;
	readonly p99: number;
	/** Share of the calls that each target got. */
	readonly shares: readonly number[];
	/** Mean of the last quarter of the play, after a change in its middle. */
	readonly lastMean: number;
};

const digestTickMilliseconds = 200;
const meanWorkMilliseconds = 40;
/** Standard deviation of the logarithm of a call's work. */
const workSpread = 0.5;
const wayMilliseconds = 1;

class Gateway {
	readonly loadTracker = new LoadTracker();
	readonly #records: readonly TargetRecord[];
	readonly #chance: SeededChance;
	readonly #method: CapacityMethod;

	constructor(records: readonly TargetRecord[], chance: SeededChance, method: CapacityMethod) {
		this.#records = records;
		this.#chance = chance;
		this.#method = method;
	}

	/** Places a call and returns what to do at its answer. */
	place(now: number): {readonly index: number; readonly settle: (at: number, load: ReturnType<() => SlowingTarget['load'] | undefined>) => void} {
		const placed = placeCall({
			targets: this.#records.map(record => {
				const {reportedRequests = 0, ...figures} = this.#method.figures(record, now);
				return {
					id: record.id, availabilityZone: 'a', slots: record.slots, isAvoided: false, failureShare: 0, attempts: Math.max(reportedRequests, this.loadTracker.totalLoad(record.id, now).attempts), ...figures,
				};
			}),
			availabilityZone: 'a',
			avoid: new Set(),
			random: this.#chance.random,
		});
		const chosen = option.isSome(placed) ? placed.value.id : '';
		const index = this.#records.findIndex(({id}) => id === chosen);
		const record = this.#records[index]!;
		const entry = this.loadTracker.add(record.id, 0);
		const beside = this.loadTracker.totalLoad(record.id, now).attempts - 1;
		return {
			index,
			settle: (at, load) => {
				this.loadTracker.remove(entry);
				this.#method.record(record, {milliseconds: at - now, running: load === undefined ? beside : load.running + load.waiting, load}, at);
			},
		};
	}
}

const normal = (random: () => number): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/**
Returns the waiting times of the calls and where they went.

@example
```
const {p95} = await playPlainFleet({seed: 1, gateways: 22, targets, callsPerSecond: 300, seconds: 60, warmUpSeconds: 20, slowShare: 0, reportsLoad: true, createMethod});
```
*/
export const playPlainFleet = async (options: PlayOptions): Promise<Played> => {
	const {seed, callsPerSecond, seconds, warmUpSeconds, slowShare, reportsLoad, createMethod, onHalfTime} = options;
	const chance = new SeededChance(seed);
	const time = new VirtualTime();
	const targets = options.targets.map(kind => new SlowingTarget({
		...kind, time, random: chance.random, slowShare, slowdown: 2.5,
	}));
	const records = options.targets.map(({slots}, index): TargetRecord => ({
		id: `i-${index}`, incarnation: `i-${index} 1`, bornAt: 1, service: 's', address: `10.0.0.${index}:80`, availabilityZone: 'a', isDraining: false, slots, role: undefined,
	}));
	const gateways = Array.from({length: options.gateways}, (_, index) => new Gateway(records, new SeededChance((seed * 1000) + index), createMethod()));
	for (const [index, gateway] of gateways.entries()) {
		time.after(chance.between(0, digestTickMilliseconds), () => {
			time.every(digestTickMilliseconds * digestPace(gateways.length).ticks, () => {
				const loads = gateway.loadTracker.ownLoads();
				for (const peer of gateways.filter(other => other !== gateway)) {
					peer.loadTracker.setPeerLoad(String(index), loads, time.now);
				}
			});
		});
	}

	const calls: Array<{readonly sentAt: number; readonly milliseconds: number; readonly index: number}> = [];
	const arrive = (): void => {
		time.after(-Math.log(1 - chance.random()) * 1000 / callsPerSecond, () => {
			arrive();
			const sentAt = time.now;
			const {index, settle} = chance.pick(gateways).place(sentAt);
			const work = meanWorkMilliseconds * Math.exp((workSpread * normal(chance.random)) - (workSpread * workSpread / 2));
			targets[index]!.take(work, () => {
				time.after(wayMilliseconds, () => {
					calls.push({sentAt, milliseconds: time.now - sentAt, index});
					settle(time.now, reportsLoad ? targets[index]!.load : undefined);
				});
			});
		});
	};

	arrive();
	time.after(seconds * 500, () => {
		onHalfTime?.(targets);
	});
	await time.run(seconds * 1000);
	const counted = calls.filter(({sentAt}) => sentAt >= warmUpSeconds * 1000);
	const sorted = counted.map(({milliseconds}) => milliseconds).toSorted((first, second) => first - second);
	return {
		mean: meanOf(sorted),
		p95: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
		p99: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
		shares: targets.map((_, target) => counted.filter(({index}) => index === target).length / Math.max(1, counted.length)),
		lastMean: meanOf(calls.filter(({sentAt}) => sentAt >= seconds * 750).map(({milliseconds}) => milliseconds)),
	};
};
