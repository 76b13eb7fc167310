/**
Gateways with the duty of reporting usage, in virtual time: their requests, what is true of them, and troubles.
*/
import {LoneGateway} from './lone-gateway.js';
import {SeededChance} from './seeded-chance.js';
import {VirtualDutyGateway} from './virtual-duty-gateway.js';
import {VirtualDutyPlatform} from './virtual-duty-platform.js';
import {VirtualLeaseStore} from './virtual-lease-store.js';
import {VirtualLinks} from './virtual-links.js';
import {VirtualTime} from './virtual-time.js';

const {windowMilliseconds} = VirtualDutyGateway.settings;
const teams: readonly string[] = Array.from({length: 12}, (_, index) => `team-${index}`);
const copyMilliseconds = 4000;
const maxCopies = 6;

type FleetOptions = {
	readonly seed: number;
	readonly count: number;
	readonly isFencing: boolean;
	/** Most that a wall clock differs from true time. */
	readonly skewMilliseconds?: number;
};

/**
One case. The same seed plays the same way.

@example
```
const fleet = new DutyFleet({seed: 7, count: 5, isFencing: false});
await fleet.run(30_000);
fleet.platform.faults; // []
```
*/
export class DutyFleet {
	readonly time = new VirtualTime();
	readonly chance: SeededChance;
	readonly store: VirtualLeaseStore;
	readonly platform: VirtualDutyPlatform;
	readonly gateways = new Map<string, VirtualDutyGateway>();
	readonly names: readonly string[];
	readonly log: Array<Readonly<Record<string, unknown>>> = [];
	/** Steps that were played: ticks of gateways. */
	steps = 0;
	readonly #links = new VirtualLinks(this.time);
	readonly #begun: Array<{readonly team: string; readonly at: number}> = [];
	/** Until when nothing passes between two gateways. */
	readonly #cutPairs = new Map<string, number>();
	#incarnation = 0;
	readonly #copies: Array<ReturnType<VirtualLeaseStore['copy']>>;
	readonly #skewMilliseconds: number;

	constructor({seed, count, isFencing, skewMilliseconds = 0}: FleetOptions) {
		this.#skewMilliseconds = skewMilliseconds;
		this.chance = new SeededChance(seed);
		this.store = new VirtualLeaseStore(this.time, this.chance.random);
		this.#copies = [this.store.copy()];
		this.platform = new VirtualDutyPlatform(this.time, {isFencing, random: this.chance.random, leaseOf: token => this.store.leaseOf(token)});
		this.names = Array.from({length: count}, (_, index) => `gateway-${index}`);
		for (const name of this.names) {
			this.start(name);
		}

		this.time.every(copyMilliseconds, () => {
			this.#copies.push(this.store.copy());
			this.#copies.splice(0, this.#copies.length - maxCopies);
		});
		this.#generate();
	}

	get currentWindow(): number {
		return Math.floor(this.trueTime / windowMilliseconds);
	}

	get trueTime(): number {
		return VirtualDutyGateway.startMilliseconds + this.time.now;
	}

	/** The gateway that has logged last that it acquired the lease. */
	get holder(): VirtualDutyGateway | undefined {
		const acquired = this.log.findLast(({event}) => event === 'duty lease acquired');
		return this.gateways.get(String(acquired?.gateway));
	}

	async run(milliseconds: number): Promise<void> {
		await this.time.run(this.time.now + milliseconds);
	}

	start(name: string): VirtualDutyGateway {
		this.#incarnation++;
		const gateway = new VirtualDutyGateway({
			name,
			incarnation: this.#incarnation,
			time: this.time,
			links: this.#links,
			store: this.store,
			platform: this.platform,
			random: this.chance.random,
			skewMilliseconds: this.chance.between(-this.#skewMilliseconds, this.#skewMilliseconds),
			cutUntil: peer => Math.max(this.#cutUntil(name), this.#cutUntil(peer), this.#cutPairs.get([name, peer].toSorted().join(' ')) ?? 0),
			digestOf: LoneGateway.digestOf,
			onLog: line => {
				this.log.push(line);
			},
		});
		this.gateways.set(name, gateway);
		return gateway;
	}

	kill(name: string): void {
		this.gateways.get(name)?.kill();
		this.gateways.delete(name);
	}

	/** Nothing passes between two gateways for so long. */
	cutLink(first: string, second: string, milliseconds: number): void {
		this.#cutPairs.set([first, second].toSorted().join(' '), this.time.now + milliseconds);
	}

	/** The store comes back from one of its last copies. */
	restoreStore(): void {
		this.store.restore(this.chance.pick(this.#copies));
	}

	/**
	The requests of a team that truly began in a window. Of those that began within `margin` milliseconds of its ends,
	`least` counts none and `most` counts all, as the gateways know true time only by their clocks.
	*/
	truth(window: number, team: string, margin: number): {readonly least: number; readonly most: number} {
		const start = window * windowMilliseconds;
		const end = start + windowMilliseconds;
		const own = this.#begun.filter(begun => begun.team === team);
		return {
			least: own.filter(({at}) => at >= start + margin && at < end - margin).length,
			most: own.filter(({at}) => at >= start - margin && at < end + margin).length,
		};
	}

	/** Number of requests that truly began in these windows. */
	begunIn(first: number, last: number): number {
		return this.#begun.filter(({at}) => at >= first * windowMilliseconds && at < (last + 1) * windowMilliseconds).length;
	}

	/** Teams whose report of a window is not exact, with what was reported. */
	inexact(window: number, margin: number): readonly string[] {
		const reported = this.reported(window);
		if (reported === undefined) {
			return ['not reported in time'];
		}

		return teams
			.map(team => ({team, ...this.truth(window, team, margin), count: reported[team] ?? 0}))
			.filter(({least, most, count}) => count < least || count > most)
			.map(({team, least, most, count}) => `${team}: ${count}, truly ${least} to ${most}`);
	}

	/** The accepted report of a window; undefined when there is none, or when it came late. */
	reported(window: number): Readonly<Record<string, number>> | undefined {
		const report = this.platform.accepted.get(window);
		const dueAt = ((window + 1) * windowMilliseconds) + VirtualDutyGateway.settings.dueMilliseconds - VirtualDutyGateway.startMilliseconds;
		return report === undefined || report.at > dueAt ? undefined : JSON.parse(report.content) as Readonly<Record<string, number>>;
	}

	#cutUntil(name: string): number {
		return this.gateways.get(name)?.peersCutUntil ?? 0;
	}

	/** Requests begin all the time, streams and plain calls, at gateways that run. */
	#generate(): void {
		this.time.after(this.chance.between(5, 25), () => {
			this.#generate();
			this.steps++;
			const running = [...this.gateways.values()].filter(gateway => !gateway.isFrozen);
			if (running.length > 0) {
				this.#begin(this.chance.pick(running));
			}
		});
	}

	#begin(gateway: VirtualDutyGateway): void {
		// A few teams have most of the requests.
		const team = teams[Math.floor(teams.length * (this.chance.random() ** 3))]!;
		this.#begun.push({team, at: this.trueTime});
		const {counter} = gateway.duties;
		const at = gateway.now;
		if (this.chance.random() < 0.5) {
			counter.recordBegun(team, at);
			return;
		}

		const close = counter.openCall(at);
		gateway.process.after(this.chance.random() < 0.9 ? this.chance.between(5, 100) : this.chance.between(100, 3000), () => {
			counter.recordBegun(team, at);
			close();
		});
	}
}
