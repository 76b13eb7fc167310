/**
Links between gateways in virtual time, as far as the sharing of rate limits sees them: who is
linked to whom, who has reported whom, and messages that arrive a little later or not at all.
*/
import type {FleetView} from '../../source/decisions/limits/fleet-view.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import type {SeededChance} from './seeded-chance.js';
import type {VirtualTime} from './virtual-time.js';

type Member = {
	readonly name: string;
	readonly receive: (peer: string, message: PeerMessage) => void;
	readonly onLinked: (peer: string) => void;
	readonly onLost: (peer: string) => void;
	readonly linked: Set<string>;
	readonly knownAt: Map<string, number>;
	/** Gateways in another group cannot be reached. */
	group: number;
	isAway: boolean;
};

const wayMilliseconds = 1;
const dialMilliseconds = 700;
const silentMilliseconds = 1800;
const reportMilliseconds = 1100;
const reportedMilliseconds = 60_000;

/**
A gateway's name is its address as well.

@example
```
links.add('gateway-1', {receive, onLinked, onLost});
links.fleetOf('gateway-1');
```
*/
export class VirtualLimitFleet {
	readonly #time: VirtualTime;
	readonly #chance: SeededChance;
	readonly #members = new Map<string, Member>();

	constructor(time: VirtualTime, chance: SeededChance) {
		this.#time = time;
		this.#chance = chance;
	}

	/** Adds a process; all are linked at once when `isLinked` is true, else as they dial each other. Reports of the others are needed only where links are lost. */
	add(name: string, handlers: Pick<Member, 'receive' | 'onLinked' | 'onLost'>, {isLinked, hasReports, knows}: {readonly isLinked: boolean; readonly hasReports: boolean; readonly knows: readonly string[]}): void {
		const member: Member = {
			name, ...handlers, linked: new Set(), knownAt: new Map(knows.map(other => [other, Number.NEGATIVE_INFINITY])), group: 0, isAway: false,
		};
		this.#members.set(name, member);
		if (isLinked) {
			for (const other of this.#members.values()) {
				this.#link(member, other);
			}
		}

		this.#repeat(member, dialMilliseconds, () => {
			this.#dial(member);
		});
		if (hasReports) {
			this.#repeat(member, reportMilliseconds, () => {
				this.#report(member);
			});
		}
	}

	/** Number of gateways that this one is linked to, itself included. */
	reachedBy(name: string): number {
		return this.#members.get(name)!.linked.size + 1;
	}

	fleetOf(name: string): FleetView {
		const {linked, knownAt} = this.#members.get(name)!;
		const unlinked = [...knownAt].filter(([address]) => address !== name && !linked.has(address));
		return {
			own: name,
			linked: [...linked].map(peer => ({name: peer, address: peer})),
			unlinked: unlinked.map(([address, at]) => ({address, ageMilliseconds: this.#time.now - at})),
		};
	}

	send(from: string, to: string, message: PeerMessage): void {
		this.#time.after(wayMilliseconds + (this.#chance.random() * wayMilliseconds), () => {
			const sender = this.#members.get(from);
			const receiver = this.#members.get(to);
			if (sender !== undefined && receiver !== undefined && receiver.linked.has(from) && this.#canReach(sender, receiver)) {
				receiver.receive(from, message);
			}
		});
	}

	broadcast(from: string, message: PeerMessage): void {
		for (const peer of this.#members.get(from)?.linked ?? []) {
			this.send(from, peer, message);
		}
	}

	/** Ends a process; its peers see their links closed. */
	remove(name: string): void {
		const member = this.#members.get(name)!;
		this.#members.delete(name);
		for (const peer of member.linked) {
			this.#loseLater(peer, name, wayMilliseconds);
		}
	}

	/** Puts a gateway into a group, or freezes it, until it is changed again. */
	change(name: string, change: Partial<Pick<Member, 'group' | 'isAway'>>): void {
		const member = this.#members.get(name);
		if (member === undefined) {
			return;
		}

		Object.assign(member, change);
		for (const other of this.#members.values()) {
			if (member.linked.has(other.name) && !this.#canReach(member, other)) {
				this.#loseLater(name, other.name, silentMilliseconds + (this.#chance.random() * 300));
				this.#loseLater(other.name, name, silentMilliseconds + (this.#chance.random() * 300));
			}
		}
	}

	#canReach(first: Member, second: Member): boolean {
		return first.group === second.group && !first.isAway && !second.isAway;
	}

	#repeat(member: Member, milliseconds: number, act: () => void): void {
		this.#time.after(this.#chance.random() * milliseconds, () => {
			const cancel = this.#time.every(milliseconds, () => {
				if (this.#members.get(member.name) !== member) {
					cancel();
				} else if (!member.isAway) {
					act();
				}
			});
		});
	}

	#dial(member: Member): void {
		for (const address of member.knownAt.keys()) {
			const other = this.#members.get(address);
			if (other !== undefined && !member.linked.has(address) && this.#canReach(member, other)) {
				this.#link(member, other);
			}
		}
	}

	#link(first: Member, second: Member): void {
		if (first === second) {
			return;
		}

		first.linked.add(second.name);
		second.linked.add(first.name);
		first.onLinked(second.name);
		second.onLinked(first.name);
	}

	#report(member: Member): void {
		const {now} = this.#time;
		for (const [address, at] of member.knownAt) {
			if (Number.isFinite(at) && now - at > reportedMilliseconds) {
				member.knownAt.delete(address);
			}
		}

		for (const peer of member.linked) {
			const other = this.#members.get(peer);
			if (other !== undefined && this.#canReach(member, other)) {
				for (const address of [member.name, ...member.linked]) {
					other.knownAt.set(address, now);
				}
			}
		}
	}

	/** The link is given up after a while, unless the peer is heard again by then. */
	#loseLater(name: string, peer: string, milliseconds: number): void {
		this.#time.after(milliseconds, () => {
			const member = this.#members.get(name);
			const other = this.#members.get(peer);
			if (member === undefined || !member.linked.has(peer) || (other?.linked.has(name) === true && this.#canReach(member, other))) {
				return;
			}

			member.linked.delete(peer);
			member.knownAt.set(peer, this.#time.now);
			member.onLost(peer);
		});
	}
}
