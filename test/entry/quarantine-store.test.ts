/**
The quarantine in the store: written after changes by few gateways, read once by each that starts.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok, type Result} from 'neverthrow';
import {test} from 'tap';
import {crashReport} from '../../source/entry/crash-report.js';
import {QuarantineStore} from '../../source/entry/quarantine-store.js';
import type {FleetStore} from '../../source/ports/fleet-store.js';
import type {StoreError} from '../../source/ports/store-error.js';
import {logger} from '../../source/shared/logger.js';
import {VirtualTime} from '../support/virtual-time.js';

type Report = Parameters<ConstructorParameters<typeof QuarantineStore>[0]['quarantine']['adopt']>[1];

const second = 1000;
const names = Array.from({length: 8}, (_, index) => `gateway-${index}`);
const report: Report = {kind: 'crashes', crashes: [{engine: 'engine-1 1', age: 40, prompts: [['bad']]}], cleared: {parts: ['sound'], ages: [30]}};

/** A store that keeps one text, and gateways before it. */
class Fleet {
	readonly time = new VirtualTime();
	text: string | undefined;
	isAway = false;
	writes = 0;
	readonly adopted: Report[] = [];

	gateway(name: string): QuarantineStore {
		const call = <Value>(value: Value): Result<Value, StoreError> => this.isAway ? err({kind: 'unknown', detail: 'away'}) : ok(value);
		const store: Pick<FleetStore, 'readCrashReport' | 'writeCrashReport'> = {
			readCrashReport: async () => call(option.fromNullable(this.text)),
			writeCrashReport: async text => {
				this.writes++;
				this.text = this.isAway ? this.text : text;
				return call(undefined);
			},
		};
		return new QuarantineStore({
			name,
			peers: () => names.filter(other => other !== name),
			store: () => store as FleetStore,
			quarantine: {
				adopt: (_, adopted) => {
					this.adopted.push(adopted);
				},
				reportHeld: () => report,
			},
			log: logger,
			metrics: {count: () => undefined},
			timers: this.time,
			wallClock: () => this.time.now,
		});
	}
}

test('a change is written by two gateways of many, and read by one that starts later', async t => {
	const fleet = new Fleet();
	for (const name of names) {
		fleet.gateway(name).save();
	}

	await fleet.time.run(second);
	t.equal(fleet.writes, 2);
	await fleet.time.run(5 * second);
	fleet.gateway('gateway-0').start();
	await fleet.time.run(6 * second);
	t.match(fleet.adopted, [{crashes: [{engine: 'engine-1 1', prompts: [['bad']]}]}]);
	t.ok(fleet.adopted[0]!.crashes[0]!.age > 40, 'the crash has aged in the store');
});

test('what cannot be written or read now is written and read once the store is back', async t => {
	const fleet = new Fleet();
	fleet.isAway = true;
	fleet.text = crashReport.format(report, 0);
	for (const name of names) {
		const gateway = fleet.gateway(name);
		gateway.save();
		gateway.start();
	}

	await fleet.time.run(3 * second);
	t.strictSame(fleet.adopted, []);
	fleet.isAway = false;
	fleet.text = undefined;
	await fleet.time.run(6 * second);
	t.match(fleet.text, /"bad"/);
	t.ok(fleet.adopted.length <= names.length, 'each gateway reads once');
});

test('the quarantine is written again after the store has come back from a copy', async t => {
	const fleet = new Fleet();
	const gateways = names.map(name => fleet.gateway(name));
	for (const era of [3, 3, 4, 4]) {
		for (const gateway of gateways) {
			gateway.recordEra(era);
		}
	}

	await fleet.time.run(second);
	t.equal(fleet.writes, 2);
});

test('a malformed report is ignored', async t => {
	const fleet = new Fleet();
	for (const text of ['', 'null', '{', '{"writtenAt":1}', '{"writtenAt":1,"report":{"kind":"read"}}', '{"writtenAt":"x","report":null}']) {
		t.equal(crashReport.parse(text, 0), undefined);
		fleet.text = text;
		fleet.gateway('gateway-0').start();
	}

	await fleet.time.run(second);
	t.strictSame(fleet.adopted, []);
});
