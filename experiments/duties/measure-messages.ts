/**
Measures what the usage reports cost in messages: their size, and the time to decode and take one, by the number of gateways.

`node build/experiments/duties/measure-messages.js` prints one line a fleet.
*/
import {performance} from 'node:perf_hooks';
import {Packr, Unpackr} from 'msgpackr';
import {CollectedUsage} from '../../source/decisions/duties/collected-usage.js';
import {usagePace} from '../../source/decisions/duties/usage-pace.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {validatePeerMessages} from '../../source/generated/validators.js';

type Usage = Extract<PeerMessage, {kind: 'usage'}>;

const requestsPerSecond = 480;
const teamCount = 74;
const windowMilliseconds = 5000;
const rounds = 20_000;
const packr = new Packr({useRecords: false, variableMapSize: true});
const unpackr = new Unpackr({useRecords: false, mapsAsObjects: true});

/** A message with so many teams of one window. */
const createMessage = (teams: number): Usage => ({
	kind: 'usage',
	counter: 'edge-munster-b-1 0b41015375c856c0',
	firstWindow: 340_000_000,
	completeThrough: 340_000_123,
	isFinal: false,
	windows: [{window: 340_000_124, teams: Array.from({length: teams}, (_, index) => `joiners-cork-${index}`), counts: Array.from({length: teams}, (_, index) => index)}],
});

const measureTake = (message: Usage): number => {
	const collected = new CollectedUsage();
	const frame = packr.pack(message);
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		const value: unknown = unpackr.unpack(frame);
		if (validatePeerMessages(value)) {
			collected.record(value as Usage, true, round);
		}
	}

	return (performance.now() - startedAt) * 1000 / rounds;
};

for (const gateways of [22, 100, 370]) {
	const perGateway = requestsPerSecond / gateways;
	const pace = Math.min(windowMilliseconds, usagePace(gateways, windowMilliseconds));
	const changed = Math.max(1, Math.min(teamCount, Math.round(perGateway * pace / 1000)));
	const whole = Math.max(1, Math.min(teamCount, Math.round(perGateway * windowMilliseconds / 1000)));
	const between = pace === windowMilliseconds ? 0 : 1000 / pace;
	const perSecond = gateways * (between + (1000 / windowMilliseconds));
	const bytes = gateways * ((between * packr.pack(createMessage(changed)).byteLength) + (1000 / windowMilliseconds * packr.pack(createMessage(whole)).byteLength));
	console.log([
		`gateways ${gateways}`,
		`pace ${pace} ms`,
		`message ${packr.pack(createMessage(changed)).byteLength} bytes`,
		`received by one candidate ${Math.round(perSecond)} messages/s, ${(bytes / 1000).toFixed(1)} KB/s`,
		`sent by one gateway ${(bytes * 3 / gateways / 1000).toFixed(2)} KB/s`,
		`taken in ${measureTake(createMessage(changed)).toFixed(1)} us`,
		`${(perSecond * measureTake(createMessage(changed)) / 10_000).toFixed(2)} % of a core`,
	].join(', '));
}
