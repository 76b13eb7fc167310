/**
Teams by key, also with as many teams as the largest deployment has.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {TeamKeys} from '../../../source/decisions/teams/team-keys.js';

const nameOf = (keys: TeamKeys, key: string): string | undefined => {
	const team = keys.find(key);
	return option.isSome(team) ? team.value.name : undefined;
};

// Guards against a key that is taken for another team's when there are many.
test('each of 13,000 teams is found by either of its keys, and no other key is known', t => {
	const teams = Array.from({length: 13_000}, (_, index) => ({name: `team-${index}`, keys: [`key-${index}-a`, `key-${index}-b`], priority: index % 3}));
	const keys = new TeamKeys(teams);
	t.equal(keys.size, 26_000);
	t.strictSame(keys.ignored, {teams: 0, keys: 0});
	t.ok(teams.every(({name, keys: [first, second]}) => nameOf(keys, first!) === name && nameOf(keys, second!) === name));
	t.notOk(teams.some(({name}, index) => nameOf(keys, name) !== undefined || nameOf(keys, `key-${index}`) !== undefined || nameOf(keys, `key-${index}-c`) !== undefined));
	t.end();
});

// Guards against an attempt that cannot be written because its team's name is no header, and against one odd entry that affects others.
test('malformed teams and keys are ignored and counted', t => {
	const odd = ['', ' lots', 'lots ', 'a\r\nX-Other: 1', 'a\u0000', 'a\u007F', 'caf\u00E9', '\u{1F600}'];
	const keys = new TeamKeys([
		...odd.map((name, index) => ({name, keys: [`odd-${index}`], priority: 0})),
		{name: 'lots', keys: ['', 'k 1', ' k-2', 'k-3\n', 'k-4'], priority: 1},
		{name: 'no keys', keys: [], priority: 1},
	]);
	t.strictSame(keys.ignored, {teams: odd.length, keys: 3});
	t.equal(keys.size, 2);
	t.equal(nameOf(keys, 'k 1'), 'lots');
	t.equal(nameOf(keys, 'k-4'), 'lots');
	t.equal(nameOf(keys, ''), undefined);
	t.end();
});

// Guards against a key that changes hands with the order in which a table is built.
test('a key that two teams have belongs to the first, and a key that a team lists twice is no fault', t => {
	const keys = new TeamKeys([{name: 'first', keys: ['k-1', 'k-1'], priority: 0}, {name: 'second', keys: ['k-1', 'k-2'], priority: 0}]);
	t.equal(nameOf(keys, 'k-1'), 'first');
	t.equal(nameOf(keys, 'k-2'), 'second');
	t.strictSame(keys.ignored, {teams: 0, keys: 1});
	t.end();
});
