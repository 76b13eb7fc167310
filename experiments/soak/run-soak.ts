/**
Runs entry gateways as processes before a store and targets of our own, with random faults.
*/
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {pause} from '../../source/shared/pause.js';
import {PlatformStoreStandIn} from '../../stand-ins/platform-store-stand-in.js';
import {SoakCalm} from './soak-calm.js';
import {SoakCaller} from './soak-caller.js';
import {SoakConfiguration} from './soak-configuration.js';
import {SoakGateway} from './soak-gateway.js';
import {SoakRandom} from './soak-random.js';
import {SoakRecord} from './soak-record.js';
import {SoakTarget} from './soak-target.js';

type SoakResult = {readonly problems: readonly string[]; readonly summary: string; readonly folder: string};

type Fleet = {
	readonly gateways: readonly SoakGateway[];
	readonly targets: readonly SoakTarget[];
	readonly store: PlatformStoreStandIn;
	readonly configuration: SoakConfiguration;
	readonly random: SoakRandom;
};

type Trouble = {
	/** Troubles of one group do not overlap: a gateway that is being stopped is not started in between. */
	readonly group: 'gateway' | 'target' | 'target limit' | 'store fault' | 'store delay' | 'store copy' | 'configuration' | 'wire';
	/** True when bounds in time do not hold meanwhile. */
	readonly isDisturbing: boolean;
	/** Returns once it is healed. */
	readonly act: (fleet: Fleet) => Promise<void>;
};

const defaultGateways = 3;
/** Addresses of other gateways in the settings of each. */
const mostSeeds = 3;
const kinds = ['bid', 'bid', 'price', 'question', 'question', 'dossier', 'extra'] as const;
const callersPerKind = 4;
const storeSettleMilliseconds = 3000;
const calmMilliseconds = 8000;
const pickTarget = ({targets, random}: Fleet): SoakTarget => random.pick(targets);

const troubles: readonly Trouble[] = [
	{
		group: 'gateway', isDisturbing: true, async act({gateways, random}) {
			const gateway = random.pick(gateways);
			if (gateway.isRunning) {
				await gateway.stop();
				await pause(random.between(0, 1000));
				gateway.start();
			}
		},
	},
	{
		group: 'gateway', isDisturbing: true, async act({gateways, random}) {
			const gateway = random.pick(gateways);
			if (gateway.isRunning) {
				gateway.kill();
				await pause(random.between(300, 1500));
				gateway.start();
			}
		},
	},
	{
		group: 'gateway', isDisturbing: true, async act({gateways, random}) {
			const gateway = random.pick(gateways);
			gateway.signal('SIGSTOP');
			await pause(random.between(100, 2500));
			gateway.signal('SIGCONT');
		},
	},
	{
		group: 'target', isDisturbing: false, act: async fleet => pickTarget(fleet).crash(fleet.random.between(500, 3000)),
	},
	{
		group: 'target', isDisturbing: false, act: async fleet => pickTarget(fleet).leave(fleet.random.between(500, 3000)),
	},
	{
		group: 'target limit', isDisturbing: false, act: async fleet => pickTarget(fleet).limit(fleet.random.pick([0, 0.4, 3.1, 4.2, 8.6, 20]), fleet.random.between(5000, 10_000)),
	},
	{
		group: 'store fault', isDisturbing: true, async act({store, random}) {
			store.fault = random.pick(['busy', 'reset', 'silent', 'endless']);
			await pause(random.between(500, 4000));
			store.fault = 'none';
		},
	},
	{
		group: 'store delay', isDisturbing: true, async act({store, random}) {
			store.delayMilliseconds = random.between(100, 900);
			await pause(random.between(500, 3000));
			store.delayMilliseconds = 4;
		},
	},
	{
		group: 'store copy', isDisturbing: true, async act({store, random}) {
			const copy = store.copy();
			await pause(random.between(500, 2500));
			const configuration = store.read('op/config');
			store.restore(copy);
			store.put('op/config', configuration);
		},
	},
	{
		group: 'configuration', isDisturbing: false, async act({store, gateways, configuration, random}) {
			configuration.write(text => {
				store.put('op/config', text);
			});
			// A process that has just been started may not have come to its handler yet; entry/early-hang-up is the test for that.
			for (const gateway of gateways.filter(({isReady}) => isReady && random.chance(0.5))) {
				gateway.signal('SIGHUP');
			}
		},
	},
	{
		group: 'wire', isDisturbing: true, async act(fleet) {
			const {wire} = pickTarget(fleet);
			wire.delayMilliseconds = fleet.random.between(20, 400);
			await pause(fleet.random.between(500, 3000));
			wire.delayMilliseconds = 0;
		},
	},
	{
		group: 'wire', isDisturbing: true, async act(fleet) {
			const {wire} = pickTarget(fleet);
			wire.isLossy = true;
			await pause(fleet.random.between(500, 3000));
			wire.isLossy = false;
		},
	},
	{
		group: 'wire', isDisturbing: true, async act(fleet) {
			pickTarget(fleet).wire.silence();
		},
	},
];

/** Starts troubles until the time is up, so that several overlap; resolves once all are healed. */
const makeTrouble = async (fleet: Fleet, {calm, gatewayCalm}: {readonly calm: SoakCalm; readonly gatewayCalm: SoakCalm}, until: number): Promise<void> => {
	const running: Array<Promise<void>> = [];
	const busy = new Set<Trouble['group']>();
	const run = async ({group, isDisturbing, act}: Trouble): Promise<void> => {
		busy.add(group);
		const disturb = async (): Promise<void> => isDisturbing ? calm.disturb(async () => act(fleet)) : act(fleet);
		await (group === 'gateway' ? gatewayCalm.disturb(disturb) : disturb());
		busy.delete(group);
	};

	while (performance.now() < until) {
		const trouble = fleet.random.pick(troubles);
		if (!busy.has(trouble.group)) {
			running.push(run(trouble));
		}

		// Between two series there is a time of calm, in which what is promised for it is judged.
		await pause(fleet.random.chance(0.1) ? calmMilliseconds : fleet.random.between(200, 1200)); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(running);
};

const addTargets = async ({store, record, calm, gatewayCalm, seed}: Pick<ConstructorParameters<typeof SoakTarget>[0], 'store' | 'record' | 'calm' | 'gatewayCalm'> & {readonly seed: number}): Promise<readonly SoakTarget[]> => {
	const roles = ['plain', 'plain', 'plain', 'plain', 'prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'] as const;
	const targets = roles.map((role, index) => new SoakTarget({
		id: `${role}-${index}`, service: role === 'plain' ? 'floor' : 'models', role, store, record, calm, gatewayCalm, random: new SoakRandom(seed + 100 + index),
	}));
	await Promise.all(targets.map(async target => target.start()));
	return targets;
};

const addGateways = async ({store, record, folder, count}: {readonly store: PlatformStoreStandIn; readonly record: SoakRecord; readonly folder: string; readonly count: number}): Promise<readonly SoakGateway[]> => {
	const gateways: SoakGateway[] = [];
	for (let index = 1; index <= count; index++) {
		// eslint-disable-next-line no-await-in-loop
		gateways.push(await SoakGateway.create({
			name: `gateway-${index}`, storeAddress: store.address, seeds: () => gateways.slice(0, mostSeeds).map(({controlAddress}) => controlAddress), folder, record,
		}));
	}

	return gateways;
};

/**
Resolves with what may not happen and did, after `seconds` of trouble and its healing.

@example
```
const {problems, summary} = await runSoak({seconds: 30, seed: 7});
```
*/
export const runSoak = async ({seconds, seed, gatewayCount = defaultGateways}: {readonly seconds: number; readonly seed: number; readonly gatewayCount?: number}): Promise<SoakResult> => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));
	const record = new SoakRecord();
	const store = new PlatformStoreStandIn();
	await store.start();
	const calm = new SoakCalm();
	const gatewayCalm = new SoakCalm();
	const configuration = new SoakConfiguration(calm);
	configuration.write(text => {
		store.put('op/config', text);
	});
	const targets = await addTargets({
		store, record, calm, gatewayCalm, seed,
	});
	const gateways = await addGateways({
		store, record, folder, count: gatewayCount,
	});
	for (const gateway of gateways) {
		gateway.start();
	}

	await pause(storeSettleMilliseconds);
	let isGoing = true;
	const callers = kinds.flatMap((kind, group) => Array.from({length: callersPerKind}, async (_, index) => new SoakCaller({
		name: `${kind}-${group}-${index}`, kind, gateways, record, configuration, random: new SoakRandom(seed + 1000 + (group * 50) + index),
	}).run(() => isGoing)));
	await makeTrouble({
		gateways, targets, store, configuration, random: new SoakRandom(seed),
	}, {calm, gatewayCalm}, performance.now() + (seconds * 1000));
	isGoing = false;
	await Promise.all(callers);
	for (const gateway of gateways) {
		gateway.end();
	}

	for (const target of targets) {
		target.stop();
	}

	store.stop();
	return {problems: record.problems(), summary: record.summary, folder};
};
