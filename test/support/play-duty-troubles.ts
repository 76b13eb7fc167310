/**
Troubles of gateways that report usage, drawn at random: kills, freezes, cuts, jumping clocks, faults of the store and of the platform.
*/
import type {DutyFleet} from './duty-fleet.js';
import type {VirtualDutyGateway} from './virtual-duty-gateway.js';

type Trouble = (fleet: DutyFleet, gateway: VirtualDutyGateway) => void;

const later = (fleet: DutyFleet, milliseconds: number, act: () => void): void => {
	fleet.time.after(milliseconds, act);
};

const setChances = (fleet: DutyFleet, chances: Partial<VirtualDutyGateway['chances']>): void => {
	for (const gateway of fleet.gateways.values()) {
		Object.assign(gateway.chances, chances);
	}
};

const troubles: Readonly<Record<string, Trouble>> = {
	kill(fleet, {name}) {
		fleet.kill(name);
		later(fleet, fleet.chance.between(500, 6000), () => {
			fleet.start(name);
		});
	},
	killMany(fleet) {
		for (const name of fleet.chance.some([...fleet.gateways.keys()], fleet.chance.random())) {
			fleet.kill(name);
			later(fleet, fleet.chance.between(500, 6000), () => {
				fleet.start(name);
			});
		}
	},
	freeze(fleet, {process}) {
		process.frozenUntil = fleet.time.now + fleet.chance.between(200, 9000);
	},
	cutFromPeers(fleet, gateway) {
		gateway.peersCutUntil = fleet.time.now + fleet.chance.between(500, 9000);
	},
	cutFromStore(fleet, gateway) {
		gateway.storeCutUntil = fleet.time.now + fleet.chance.between(500, 9000);
	},
	cutFromPlatform(fleet, gateway) {
		gateway.platformCutUntil = fleet.time.now + fleet.chance.between(500, 9000);
	},
	cutOff(fleet, gateway) {
		const until = fleet.time.now + fleet.chance.between(500, 9000);
		Object.assign(gateway, {peersCutUntil: until, storeCutUntil: until, platformCutUntil: until});
	},
	jump(fleet, gateway) {
		gateway.jumpMilliseconds = fleet.chance.between(-5000, 5000);
		later(fleet, fleet.chance.between(500, 15_000), () => {
			gateway.jumpMilliseconds = 0;
		});
	},
	stop(fleet, gateway) {
		gateway.duties.resign();
		later(fleet, 1000, () => {
			if (fleet.gateways.get(gateway.name) === gateway) {
				void gateway.duties.stop();
				later(fleet, 50, () => {
					fleet.kill(gateway.name);
					fleet.start(gateway.name);
				});
			}
		});
	},
	storeAway(fleet) {
		const until = fleet.time.now + fleet.chance.between(500, 9000);
		for (const gateway of fleet.gateways.values()) {
			gateway.storeCutUntil = until;
		}
	},
	storeSlow(fleet) {
		fleet.store.slowMilliseconds = fleet.chance.between(100, 900);
		later(fleet, fleet.chance.between(500, 6000), () => {
			fleet.store.slowMilliseconds = 0;
		});
	},
	storeRestored(fleet) {
		fleet.restoreStore();
	},
	answersLost(fleet) {
		setChances(fleet, {silent: 0.2, lostAnswer: 0.2, late: 0.2});
		later(fleet, fleet.chance.between(500, 9000), () => {
			setChances(fleet, {silent: 0, lostAnswer: 0, late: 0});
		});
	},
	platformSlow(fleet) {
		fleet.platform.slowMilliseconds = fleet.chance.between(100, 4000);
		later(fleet, fleet.chance.between(500, 9000), () => {
			fleet.platform.slowMilliseconds = 0;
		});
	},
	platformAway(fleet) {
		fleet.platform.awayUntil = fleet.time.now + fleet.chance.between(500, 9000);
	},
};

/** The gateway that holds the lease is struck as often as all others together. */
const pickGateway = (fleet: DutyFleet): VirtualDutyGateway | undefined => {
	const all = [...fleet.gateways.values()];
	return fleet.chance.random() < 0.5 && fleet.holder !== undefined ? fleet.holder : all[fleet.chance.whole(Math.max(1, all.length))];
};

/**
Plays troubles one after another, which overlap, for so long.

@example
```
await playDutyTroubles(fleet, 40_000);
```
*/
export const playDutyTroubles = async (fleet: DutyFleet, milliseconds: number): Promise<readonly string[]> => {
	const until = fleet.time.now + milliseconds;
	const names: string[] = [];
	while (fleet.time.now < until) {
		const name = fleet.chance.pick(Object.keys(troubles));
		const gateway = pickGateway(fleet);
		if (gateway !== undefined) {
			names.push(`${Math.round(fleet.time.now)} ${name} ${gateway.name}`);
			troubles[name]!(fleet, gateway);
		}

		await fleet.run(fleet.chance.between(300, 5000)); // eslint-disable-line no-await-in-loop
	}

	return names;
};
