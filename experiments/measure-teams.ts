/**
`npm run measure -- teams`: the cost of finding a key's team, of taking a configuration into force, and of passing it on to a peer, by the number of teams.
*/
import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import {decodeConfiguration} from '../platform/decode-configuration.js';
import {decideAccess} from '../source/decisions/teams/decide-access.js';
import {TeamKeys} from '../source/decisions/teams/team-keys.js';
import {clock} from '../source/shared/clock.js';

const counts = [10, 74, 1000, 13_000];
const lookups = 1_000_000;
const keysEach = 2;

/** A key as long as a hash of 160 bits. */
const keyOf = (team: number, number: number): string => Buffer.from(`${team}-${number}`.padEnd(20, 'x')).toString('hex');

const textOf = (teams: number): string => JSON.stringify({
	version: 1,
	routes: [],
	services: [],
	limits: {},
	tenants: Array.from({length: teams}, (_, team) => ({name: `team-${team}`, apiKeys: Array.from({length: keysEach}, (__, number) => keyOf(team, number)), priority: team % 3})),
});

const time = (act: () => void): number => {
	const startedAt = clock();
	act();
	return clock() - startedAt;
};

const nanosecondsEach = (milliseconds: number): string => (milliseconds * 1_000_000 / lookups).toFixed(0);

/** Decides on requests whose keys were read from the wire, so that no key is the same string as the one in the table. */
const measureLookups = (teamKeys: TeamKeys, teams: number, isKnown: boolean): string => {
	const keys = Array.from({length: 1000}, (_, index) => Buffer.from(keyOf(index % teams, isKnown ? index % keysEach : keysEach)).toString('latin1'));
	return nanosecondsEach(time(() => {
		for (let index = 0; index < lookups; index++) {
			decideAccess({
				teamKeys, isPublic: false, credentials: [keys[index % keys.length]!], isFresh: true,
			});
		}
	}));
};

const measureCount = (teams: number): string => {
	const text = textOf(teams);
	const configuration = decodeConfiguration(text)._unsafeUnwrap();
	const decoding = time(() => {
		decodeConfiguration(text);
	});
	const building = time(() => new TeamKeys(configuration.teams));
	const teamKeys = new TeamKeys(configuration.teams);
	const message = new Packr({useRecords: false, variableMapSize: true}).pack({kind: 'configuration', configuration});
	return [
		`${teams} teams`,
		`known key ${measureLookups(teamKeys, teams, true)} ns`,
		`unknown key ${measureLookups(teamKeys, teams, false)} ns`,
		`decoding ${decoding.toFixed(1)} ms`,
		`table ${building.toFixed(1)} ms`,
		`in the store ${Math.round(text.length / 1000)} KB`,
		`to a peer ${Math.round(message.byteLength / 1000)} KB`,
	].join(', ');
};

/**
Prints one line for each number of teams.

@example
```
measureTeams();
```
*/
export const measureTeams = (): void => {
	// The first run compiles what the others use.
	measureCount(100);
	for (const count of counts) {
		console.log(measureCount(count));
	}
};
