/**
Tells the crash of a target from the loss of single connections.

Both break attempts off. After a crash, nothing listens at the target's address for a while,
so the address is probed once attempts were lost. A target that is known to be leaving ends
as planned, which is no crash.
*/
import type {TargetRecord} from '../fleet/target-record.js';
import type {Timers} from '../shared/timers.js';
import type {probeAddress} from './probe-address.js';

type LostRequest = {readonly requestId: string; readonly parts: readonly string[]};

type Loss = {
	readonly target: TargetRecord;
	readonly requests: readonly LostRequest[];
	readonly at: number;
	readonly isCrash: boolean;
};

type CrashMonitorOptions = {
	readonly probe: typeof probeAddress;
	/** True while a target may get work, so that its end is not planned. */
	readonly isUsable: (target: TargetRecord) => boolean;
	/** Called with the requests that were lost, and when the first of them was; again for those whose loss is noticed later. */
	readonly onLost: (loss: Loss) => void;
	readonly now: () => number;
	readonly timers: Timers;
};

type Incident = {
	readonly target: TargetRecord;
	/** When the first attempt was lost. */
	readonly at: number;
	requests: LostRequest[];
	isCrash: boolean;
	isScheduled: boolean;
	pauseMilliseconds: number;
};

/** Time for the attempts that were lost at the same moment to be noticed. */
const collectMilliseconds = 40;
/** How long a target that was found to listen is not probed again. */
const reprobeMilliseconds = 300;
/** Losses within this time after the first one have the same cause. */
const incidentMilliseconds = 2000;

/**
One instance a process.

Invariant: a lost request is reported at most once.

@example
```
monitor.recordLost(target, {requestId: '9c41', parts: ['5c1e07a2']});
```
*/
export class CrashMonitor {
	readonly #options: CrashMonitorOptions;
	/** The latest losses at each incarnation. */
	readonly #incidents = new Map<string, Incident>();

	constructor(options: CrashMonitorOptions) {
		this.#options = options;
	}

	/** Records an attempt that its target broke off. */
	recordLost(target: TargetRecord, request: LostRequest): void {
		const {now, isUsable} = this.#options;
		const known = this.#incidents.get(target.incarnation);
		const isSameIncident = known !== undefined && now() - known.at < incidentMilliseconds;
		if (!isSameIncident && !isUsable(target)) {
			return;
		}

		const incident = isSameIncident ? known : this.#startIncident(target);
		this.#incidents.set(target.incarnation, incident);
		incident.requests.push(request);
		this.#schedule(incident);
	}

	/** Forgets losses that are too old to have the same cause as a new one. */
	forgetOld(): void {
		for (const [incarnation, {at}] of this.#incidents) {
			if (this.#options.now() - at >= incidentMilliseconds) {
				this.#incidents.delete(incarnation);
			}
		}
	}

	#startIncident(target: TargetRecord): Incident {
		return {
			target, at: this.#options.now(), requests: [], isCrash: false, isScheduled: false, pauseMilliseconds: collectMilliseconds,
		};
	}

	#schedule(incident: Incident): void {
		if (incident.isScheduled) {
			return;
		}

		incident.isScheduled = true;
		this.#options.timers.after(incident.pauseMilliseconds, () => {
			void this.#examine(incident);
		});
	}

	async #examine(incident: Incident): Promise<void> {
		const {probe, onLost} = this.#options;
		incident.isCrash ||= await probe(incident.target.address) === 'refused';
		incident.isScheduled = false;
		incident.pauseMilliseconds = incident.isCrash ? collectMilliseconds : reprobeMilliseconds;
		const {target, at, isCrash, requests} = incident;
		incident.requests = [];
		onLost({
			target, requests, at, isCrash,
		});
	}
}
