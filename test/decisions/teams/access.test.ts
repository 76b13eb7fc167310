/**
Which requests are admitted, and for which team, by their key, their route and the age of the configuration.
*/
import {test} from 'tap';
import type {AccessDecision} from '../../../source/decisions/teams/access-decision.js';
import {decideAccess} from '../../../source/decisions/teams/decide-access.js';
import {recheckAccess} from '../../../source/decisions/teams/recheck-access.js';
import {TeamKeys} from '../../../source/decisions/teams/team-keys.js';
import type {RequestTeam} from '../../../source/fleet/request-team.js';

const none: RequestTeam = {kind: 'none'};
const anonymous: RequestTeam = {kind: 'anonymous'};
const lots: RequestTeam = {kind: 'team', name: 'lots', priority: 2};
const bids: RequestTeam = {kind: 'team', name: 'bids', priority: 0};

const teamKeys = new TeamKeys([{name: 'lots', keys: ['k-1', 'k-2'], priority: 2}, {name: 'bids', keys: ['k-3'], priority: 0}]);
const veryLong = 'k'.repeat(65_536);

type Unusable = Exclude<AccessDecision['key'], 'known' | 'not needed'>;

const unusable: ReadonlyArray<readonly [name: string, credentials: readonly string[], key: Unusable]> = [
	['absent', [], 'absent'],
	['empty', [''], 'empty'],
	['empty, then known', ['', 'k-1'], 'repeated'],
	['two known ones of a team', ['k-1', 'k-2'], 'repeated'],
	['the same one twice', ['k-1', 'k-1'], 'repeated'],
	['known ones of two teams', ['k-1', 'k-3'], 'repeated'],
	['joined by a comma', ['k-1, k-1'], 'unknown'],
	['very long', [veryLong], 'unknown'],
	['very long, and begins with a known one', [`k-1${veryLong}`], 'unknown'],
	['unknown', ['k-4'], 'unknown'],
	['part of a known one', ['k-'], 'unknown'],
	['known but for the case', ['K-1'], 'unknown'],
	['with a space', ['k-1 '], 'unknown'],
	['with a scheme', ['Bearer k-1'], 'unknown'],
	['name of a team', ['lots'], 'unknown'],
	['name of a property', ['constructor'], 'unknown'],
	['name of a prototype', ['__proto__'], 'unknown'],
];

// Guards against a request that runs without a key, and against one that is told that its key is unknown by a configuration that may be outdated.
test('a request without the key of a team is denied only by a fresh configuration, and never on a public route', t => {
	for (const [name, credentials, key] of unusable) {
		t.strictSame(decideAccess({
			teamKeys, isPublic: false, credentials, isFresh: true,
		}), {kind: 'denied', key}, name);
		t.strictSame(decideAccess({
			teamKeys, isPublic: false, credentials, isFresh: false,
		}), {kind: 'undecided', key}, `${name}, not fresh`);
		for (const isFresh of [true, false]) {
			t.strictSame(decideAccess({
				teamKeys, isPublic: true, credentials, isFresh,
			}), {kind: 'admitted', team: anonymous, key}, `${name}, public`);
		}
	}

	t.end();
});

// Guards against a 401 for a valid key at a gateway that is cut off from the store.
test('a request with the key of a team is admitted for that team, on any route and whatever the age of the configuration', t => {
	for (const [credential, team] of [['k-1', lots], ['k-2', lots], ['k-3', bids]] as const) {
		for (const isPublic of [true, false]) {
			for (const isFresh of [true, false]) {
				t.strictSame(decideAccess({
					teamKeys, isPublic, credentials: [credential], isFresh,
				}), {kind: 'admitted', team, key: 'known'});
			}
		}
	}

	t.end();
});

// Guards against a deployment without teams that rejects requests for what is in a header that means nothing there.
test('without teams every request is admitted; with an empty list of teams none is, but on public routes', t => {
	for (const credentials of [[], [''], ['k-1'], ['k-1', 'k-1'], [veryLong]]) {
		for (const isPublic of [true, false]) {
			t.strictSame(decideAccess({
				teamKeys: new TeamKeys(undefined), isPublic, credentials, isFresh: false,
			}), {kind: 'admitted', team: none, key: 'not needed'});
		}
	}

	const nobody = new TeamKeys([]);
	t.match(decideAccess({
		teamKeys: nobody, isPublic: false, credentials: ['k-1'], isFresh: true,
	}), {kind: 'denied'});
	t.match(decideAccess({
		teamKeys: nobody, isPublic: true, credentials: ['k-1'], isFresh: true,
	}), {kind: 'admitted', team: anonymous});
	t.end();
});

const admitted = (team: RequestTeam): AccessDecision => ({kind: 'admitted', team, key: 'known'});

// Guards against a request that waits while its key is removed, and runs nevertheless.
test('a request that was admitted is sent only for the team that it was admitted for', t => {
	for (const team of [none, anonymous, lots]) {
		t.strictSame(recheckAccess(team, {kind: 'denied', key: 'unknown'}), {kind: 'denied', key: 'unknown'});
		t.strictSame(recheckAccess(team, {kind: 'undecided', key: 'unknown'}), {kind: 'undecided', key: 'unknown'});
	}

	const cases: ReadonlyArray<readonly [before: RequestTeam, now: RequestTeam, change: string]> = [
		[none, none, 'unchanged'],
		// Its headers may hold a key.
		[none, anonymous, 'moved'],
		[none, lots, 'moved'],
		[anonymous, anonymous, 'unchanged'],
		[anonymous, none, 'unchanged'],
		[anonymous, lots, 'unchanged'],
		[lots, lots, 'unchanged'],
		[lots, {...lots, priority: 7}, 'unchanged'],
		[lots, none, 'unchanged'],
		[lots, bids, 'moved'],
		// Its route is public, and its key was removed.
		[lots, anonymous, 'moved'],
	];
	for (const [before, now, change] of cases) {
		t.strictSame(recheckAccess(before, admitted(now)), {kind: change}, `${before.kind}, ${now.kind}`);
	}

	t.end();
});
