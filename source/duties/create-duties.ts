/**
Sets up the duties of an entry gateway, where its settings name any.
*/
import type {Logger} from 'roarr';
import type {EntryMetrics} from '../entry/entry-metrics.js';
import type {EntrySettings} from '../entry/entry-settings.js';
import type {Peers} from '../entry/peers.js';
import type {DutyInterface} from '../ports/duty-interface.js';
import type {LeaseStore} from '../ports/lease-store.js';
import {clock} from '../shared/clock.js';
import {systemTimers} from '../shared/system-timers.js';
import {Duties} from './duties.js';

type SetUp = {
	readonly settings: () => EntrySettings;
	readonly incarnation: string;
	/** Connects the platform; without it there are no duties. */
	readonly createPorts: ((settings: () => EntrySettings) => {readonly store: LeaseStore; readonly duties: DutyInterface}) | undefined;
	readonly peers: () => Pick<Peers, 'names' | 'send'> | undefined;
	readonly log: Logger;
	readonly metrics: EntryMetrics;
};

/**
Returns the duties, not started, or undefined when the settings name none.

@example
```
createDuties(setUp)?.start();
```
*/
export const createDuties = ({settings, incarnation, createPorts, peers, log, metrics}: SetUp): Duties | undefined => {
	const {name, usageReports} = settings();
	if (usageReports === undefined || createPorts === undefined) {
		return undefined;
	}

	return new Duties({
		name,
		incarnation,
		settings: usageReports,
		...createPorts(settings),
		peers: () => peers()?.names ?? [],
		send(peer, message) {
			peers()?.send(peer, message);
		},
		log,
		metrics,
		now: clock,
		wallClock: Date.now,
		timers: systemTimers,
	});
};
