/**
Keeps how much engine time each team has used recently, and how many of its requests were served.

A large team's burst fills the queues within a second. In order of arrival, each small
team would then wait behind it and be refused as often as the large team, although it asks
for next to nothing. So prompts are ordered by what their team has used. Usage decays, so
that a team does not pay for a burst long past, and the state is one account for each team
that was active recently.
*/
import {ServedRatio} from './served-ratio.js';

/** Time after which used engine time counts for a third. Bursts last 3 s, and blocks of load 14 s. */
const decayMilliseconds = 10_000;
/** Upper bound of the accounts; the deployments have up to 13,000 teams. */
const maxTeams = 16_384;
/** An account with less than this is closed. A short prompt uses more. */
const minUsedMilliseconds = 1;
const minOffered = 0.1;
/** Accounts checked for closing at each entry, so that the cost of an entry does not depend on the number of teams. */
const checkedPerEntry = 2;
/** A team is below the floor when it is served less often than this share of what all teams are; the requirement is a quarter. */
const floorShare = 0.4;

class Account {
	readonly outcomes = new ServedRatio();
	#used = 0;
	#updatedAt = 0;

	usedAt(now: number): number {
		return this.#used * Math.exp(Math.min(0, this.#updatedAt - now) / decayMilliseconds);
	}

	/** Adds engine time and returns what was added; a refund takes no more than is there. */
	add(milliseconds: number, now: number): number {
		const used = this.usedAt(now);
		const added = Math.max(-used, milliseconds);
		this.#used = used + added;
		this.#updatedAt = now;
		return added;
	}
}

/**
The accounts of all teams for the engines of one service. Engine time is in milliseconds.

@example
```
const ledger = new TeamLedger();
ledger.charge('harbour', 94, now);
ledger.usedBy('harbour', now) > ledger.share(now);
```
*/
export class TeamLedger {
	readonly #accounts = new Map<string, Account>();
	readonly #total = new Account();
	#unchecked = this.#accounts.entries();

	/** Number of teams that were active recently. */
	get teamCount(): number {
		return this.#accounts.size;
	}

	/** Charges engine time to a team; a negative amount is a refund. */
	charge(team: string, milliseconds: number, now: number): void {
		this.#total.add(this.#accountOf(team, now).add(milliseconds, now), now);
	}

	/** Records that a request of a team was served or refused. */
	recordOutcome(team: string, isServed: boolean, now: number): void {
		this.#accountOf(team, now).outcomes.record(isServed, now);
		this.#total.outcomes.record(isServed, now);
	}

	/** Engine time that a team has used recently. */
	usedBy(team: string, now: number): number {
		return this.#accounts.get(team)?.usedAt(now) ?? 0;
	}

	/** The equal share, in the engine time that all have used, of each team that was active recently or is one of `waiting`. */
	share(now: number, waiting: ReadonlySet<string> = new Set()): number {
		const newTeams = [...waiting].filter(team => !this.#accounts.has(team)).length;
		return this.#total.usedAt(now) / Math.max(1, this.#accounts.size + newTeams);
	}

	/** True when so few of a team's requests were served that its next one has to be, whatever the team has used. */
	isBelowFloor(team: string, now: number): boolean {
		const outcomes = this.#accounts.get(team)?.outcomes.at(now);
		const all = this.#total.outcomes.at(now);
		// One request more counts as served, so that a team with few requests is not below the floor by chance.
		return outcomes !== undefined && (outcomes.served + 1) * all.offered < outcomes.offered * all.served * floorShare;
	}

	#accountOf(team: string, now: number): Account {
		this.#closeUnused(now);
		const known = this.#accounts.get(team);
		if (known !== undefined) {
			return known;
		}

		if (this.#accounts.size >= maxTeams) {
			this.#accounts.delete(this.#accounts.keys().next().value!);
		}

		const account = new Account();
		this.#accounts.set(team, account);
		return account;
	}

	/** Checks the next few accounts in turn, and closes those that were not used recently. */
	#closeUnused(now: number): void {
		for (let checked = 0; checked < checkedPerEntry; checked++) {
			const next = this.#unchecked.next();
			if (next.done) {
				this.#unchecked = this.#accounts.entries();
				return;
			}

			const [team, account] = next.value;
			if (account.usedAt(now) < minUsedMilliseconds && account.outcomes.at(now).offered < minOffered) {
				this.#accounts.delete(team);
			}
		}
	}
}
