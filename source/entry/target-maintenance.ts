/**
The regular work on what a gateway keeps of targets: it reports silent ones and changes of the
learned capacity, and drops what belongs to targets that are gone.
*/
import {CapacityChanges} from '../decisions/capacity/capacity-changes.js';
import type {TargetRecord} from '../fleet/target-record.js';
import type {EntryContext} from './entry-context.js';

type Context = Pick<EntryContext, 'prefixCache' | 'health' | 'pauses' | 'rateLimits' | 'capacity' | 'connections' | 'metrics' | 'log' | 'now'>;

/** Confidence from which a target counts as measured. */
const measuredConfidence = 0.5;

const round = (value: number): number => Math.round(value * 100) / 100;

/**
One instance a process.

@example
```
maintenance.run(targetRegistry.all());
```
*/
export class TargetMaintenance {
	readonly #context: Context;
	readonly #changes = new CapacityChanges();

	constructor(context: Context) {
		this.#context = context;
	}

	run(records: readonly TargetRecord[]): void {
		this.#reportSilent();
		this.#retain(records);
		this.#reportCapacity(records);
	}

	#reportSilent(): void {
		const {health, metrics, log, now} = this.#context;
		for (const target of health.takeSilent(now())) {
			metrics.count('target.silent');
			log.warn({event: 'target avoided', target, reason: 'silent'}, 'target avoided because it does not answer');
		}
	}

	/** Connections are kept by address, all else by incarnation. */
	#retain(records: readonly TargetRecord[]): void {
		const {prefixCache, health, pauses, rateLimits, capacity, connections} = this.#context;
		const incarnations = new Set(records.map(({incarnation}) => incarnation));
		prefixCache.retainOnly(incarnations);
		health.keepOnly(incarnations);
		pauses.keepOnly(incarnations);
		rateLimits.keepOnly(new Map(records.map(record => [record.incarnation, record])));
		capacity.keepOnly(incarnations);
		connections.keepOnly(new Set(records.map(({address}) => address)));
	}

	#reportCapacity(records: readonly TargetRecord[]): void {
		const {capacity, metrics, log, now} = this.#context;
		const at = now();
		const figures = records.map(record => ({...capacity.of(record, at), id: record.id, incarnation: record.incarnation}));
		const ids = new Map(figures.map(({incarnation, id}) => [incarnation, id]));
		for (const {before, after: {incarnation, speed, limit}} of this.#changes.take(figures, at)) {
			metrics.count('capacity.changed');
			log.info({
				event: 'capacity learned', target: ids.get(incarnation), incarnation, speed: round(speed), formerSpeed: round(before.speed), limit, formerLimit: before.limit, confidence: round(figures.find(one => one.incarnation === incarnation)?.confidence ?? 0),
			}, 'learned speed or limit of a target has changed');
		}

		const speeds = figures.map(({speed}) => speed);
		metrics.gauge('capacity.speed-lowest', round(Math.min(1, ...speeds)));
		metrics.gauge('capacity.speed-highest', round(Math.max(1, ...speeds)));
		metrics.gauge('capacity.targets-measured', figures.filter(({confidence}) => confidence >= measuredConfidence).length);
		metrics.gauge('capacity.targets-limited', figures.filter(({limit}) => limit !== undefined).length);
	}
}
