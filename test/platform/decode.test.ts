/**
Tests the translation of the platform's settings, entries, configuration and headers, and the rejection of invalid ones.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {decodeConfiguration} from '../../platform/decode-configuration.js';
import {decodeSettings} from '../../platform/decode-settings.js';
import {decodeTarget} from '../../platform/decode-target.js';
import {targetProtocol} from '../../platform/target-protocol.js';
import type {RequestTeam} from '../../source/fleet/request-team.js';

const settings = `
nodeName = "edge-1"
zone = "zone-a"
seeds = ["10.1.0.35:8146"]
heartbeatMs = 900
later = "ignored"
[listen]
frontend = "10.1.0.35:8144"
readyAddress = "10.1.0.35:8140"
controlPlane = "10.1.0.35:8146"
[bounds]
drainMs = 2000
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 58
[limits]
linkMbps = 1000.0
[platform]
address = "10.200.1.7:8142"
readsPerS = 2000
`;

test('settings are translated, and unknown fields are ignored', t => {
	t.match(decodeSettings(settings)._unsafeUnwrap(), {
		name: 'edge-1', availabilityZone: 'zone-a', peerSeeds: ['10.1.0.35:8146'], linkMegabits: 1000, listen: {callers: {host: '10.1.0.35', port: 8144}}, bounds: {heartbeatMilliseconds: 900, graceMilliseconds: 8000, retryExtra: 58}, store: {address: '10.200.1.7:8142'},
	});
	t.equal(decodeSettings(settings)._unsafeUnwrap().isFirstStart, false, 'a start is not the first one unless the settings say so');
	t.equal(decodeSettings(`bootstrap = true\n${settings}`)._unsafeUnwrap().isFirstStart, true);
	t.end();
});

// Guards against duties where the settings name none, and against settings of other deployments that are refused.
test('usage is reported only where the settings name that duty', t => {
	const table = (duties: string): string => `${settings}[cloudApi]\naddress = "10.200.1.9:8150"\nratePerS = 10\ndutyPerS = 50\nduties = ${duties}\n`;
	t.equal(decodeSettings(settings)._unsafeUnwrap().usageReports, undefined);
	t.equal(decodeSettings(table('["autoscaler", "later"]'))._unsafeUnwrap().usageReports, undefined);
	t.strictSame(decodeSettings(table('["autoscaler", "usage_reporting"]'))._unsafeUnwrap().usageReports, {
		address: '10.200.1.9:8150', callsPerSecond: 50, leaseMilliseconds: 3000, windowMilliseconds: 5000, dueMilliseconds: 10_000,
	});
	const bounds = table('["usage_reporting"]').replace('drainMs = 2000', 'leaseMs = 500\nreportWindowS = 2\nusageLateS = 0');
	t.match(decodeSettings(bounds)._unsafeUnwrap().usageReports, {leaseMilliseconds: 1000, windowMilliseconds: 2000, dueMilliseconds: 10_000});
	t.end();
});

test('all errors in the settings are reported', t => {
	const errors = decodeSettings(settings.replace('"edge-1"', '7').replace('10.200.1.7:8142', 'nowhere'))._unsafeUnwrapErr();
	t.ok(errors.some(error => error.startsWith('nodeName:')));
	t.ok(errors.some(error => error.startsWith('platform.address:')));
	t.ok(decodeSettings('a = ').isErr());
	t.end();
});

const entry = {
	service: 's', address: '10.0.0.9:80', zone: 'a', slots: 4, state: 'ready', born: 17,
};

test('an entry with a missing or invalid field is not a target', t => {
	const decode = (value: unknown) => decodeTarget('i-1', typeof value === 'string' ? value : JSON.stringify(value));
	t.match(decode({...entry, phase: 'prefill'}), option.some({
		id: 'i-1', incarnation: 'i-1 17', role: 'prefill', isDraining: false,
	}));
	t.match(decode({...entry, state: 'draining'}), option.some({isDraining: true}));
	const forged = ['', 'null', '7', '[]', {...entry, service: 3}, {...entry, address: 'x'}, {...entry, slots: '4'}, {...entry, state: 'asleep'}, {...entry, born: 1.5}, {...entry, phase: 'both'}, {...entry, zone: undefined}];
	t.ok(forged.every(value => option.isNone(decode(value))));
	t.end();
});

// Guards against calls that fail with an internal error because an entry of another writer names no address to connect to.
test('LOST: an entry whose address has a port out of range, or no IP number, is not a target', t => {
	const decode = (address: string) => decodeTarget('i-1', JSON.stringify({...entry, address}));
	for (const address of ['10.0.0.9:70000', '10.0.0.9:65536', '10.0.0.9:0', '10.0.0.9:99999', '10.0.0.9:-1', '10.0.0.9:', '10.0.0.9', '10.0.0.256:80', '999.0.0.1:80', '10.0.0:80', '10.0.0.9:80:80', '10.0.0.9:8e3', ':80', '10.0.0.9:http']) {
		t.ok(option.isNone(decode(address)), address);
	}

	t.ok(option.isSome(decode('10.0.0.9:65535')));
	t.ok(option.isSome(decode('10.0.0.9:1')));
	t.end();
});

// Guards against a reader of the list that ends, or stops following it, for one odd entry.
test('an entry that is nested very deeply, or has a number too large, is not a target', t => {
	const depth = 200_000;
	const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
	const text = JSON.stringify(entry);
	const odd = [nested, `{"a":${nested},${text.slice(1, -1)},"slots":1e400}`, text.replace('"slots":4', '"slots":1e400'), text.replace('"slots":4', '"slots":1e308'), text.replace('"born":17', '"born":1e400'), text.replace('"born":17', '"born":-1e308'), '"', '{"__proto__":', '\u0000'];
	for (const value of odd) {
		t.ok(option.isNone(decodeTarget('i-1', value)), value.slice(0, 60));
	}

	t.end();
});

test('a configuration is translated; requests of an unknown route kind may run at most once', t => {
	const text = JSON.stringify({
		version: 7,
		routes: [
			{
				name: 'a', host: 'A.example', pathPrefix: '/a/', routeType: 'streaming', timeoutMs: 6000, targetLatencyMs: 800, itlTargetMs: 300, priority: 1, trafficSplit: [{service: 's', weight: 90}, {service: 'z', weight: 0}], maxAttempts: 1, resumable: true,
			},
			{
				name: 'b', host: 'b.example', pathPrefix: '/b/', routeType: 'strange', service: 's',
			},
		],
		services: [{name: 's', maxConnections: 9}],
		limits: {},
	});
	t.match(decodeConfiguration(text)._unsafeUnwrap(), {
		version: 7,
		routes: [{
			host: 'a.example', kind: 'streaming', firstEventPatienceMilliseconds: 3200, split: [{service: 's', weight: 90}], isResumable: true,
		}, {kind: 'non-idempotent', mostAttempts: 1}],
		services: [{name: 's', engine: undefined, mostConnections: 9}],
	});
	t.ok(decodeConfiguration('{').isErr());
	t.ok(decodeConfiguration('{"routes": []}').isErr());
	t.end();
});

const decodeText = (value: unknown) => decodeConfiguration(JSON.stringify(value));

test('teams, their keys and public routes are translated', t => {
	const {teams, routes} = decodeText({
		version: 7,
		tenants: [{name: 'lots', apiKeys: ['k-1', 'k-2'], priority: 2}, {name: 'bids', apiKeys: ['k-3']}],
		routes: [{name: 'a', public: true}, {name: 'b'}, {name: 'c', public: 'yes'}],
	})._unsafeUnwrap();
	t.strictSame(teams, [{name: 'lots', keys: ['k-1', 'k-2'], priority: 2}, {name: 'bids', keys: ['k-3'], priority: 0}]);
	t.strictSame(routes.map(({isPublic}) => isPublic), [true, false, false]);
	t.strictSame(decodeText({version: 7, tenants: []})._unsafeUnwrap().teams, []);
	t.end();
});

// Guards against a deployment without teams that asks for keys, and against one with teams that asks for none because of a malformed list.
test('requests need no key only if the configuration has no teams, and a list of teams of a wrong type is rejected', t => {
	t.notOk('teams' in decodeText({version: 7})._unsafeUnwrap());
	t.notOk('teams' in decodeText({version: 7, tenants: null})._unsafeUnwrap());
	for (const tenants of ['lots', 7, true, false, {}, {lots: ['k-1']}]) {
		t.equal(decodeText({version: 7, tenants})._unsafeUnwrapErr(), 'tenants is not a list');
	}

	t.end();
});

// Guards against one odd entry that makes the whole configuration unreadable.
test('a malformed team does not affect the others', t => {
	const odd = [null, 7, 'lots', [], {}, {name: 7, apiKeys: ['k']}, {name: 'x', apiKeys: 'k-9'}, {name: 'y', apiKeys: [7, null, 'k-8'], priority: 'first'}];
	const {teams} = decodeText({version: 7, tenants: [...odd, {name: 'lots', apiKeys: ['k-1'], priority: 1}]})._unsafeUnwrap();
	t.strictSame(teams?.at(-1), {name: 'lots', keys: ['k-1'], priority: 1});
	t.strictSame(teams?.at(-2), {name: 'y', keys: ['', '', 'k-8'], priority: 0});
	t.equal(teams?.length, odd.length + 1);
	t.end();
});

// Guards against keys in the log: the message of a syntax error quotes the text around it.
test('the reason for which a configuration is unreadable holds no part of it', t => {
	const text = JSON.stringify({version: 7, tenants: [{name: 'lots', apiKeys: ['secret-key'], priority: 1}]});
	const cut = text.indexOf('secret');
	for (const broken of [text.slice(0, cut + 3), `${text.slice(0, cut)}"${text.slice(cut)}`, text.slice(cut)]) {
		t.equal(decodeConfiguration(broken)._unsafeUnwrapErr(), 'not valid JSON');
	}

	t.end();
});

test('an attempt carries the caller\'s headers and the system\'s headers, and a caller cannot set the system\'s headers', t => {
	const facts = targetProtocol.readRequest(['Host', 'a', 'X-Request-Id', 'r', 'X-Deadline-Ms', '900', 'X-Kv-Source', 'forged', 'X-Token-Count', '40,5', 'X-Prompt-Prefix', 'aa:30,bb:10', 'Last-Event-Id', '3']);
	t.match(facts, {
		requestId: 'r', patienceMilliseconds: 900, prompt: {tokens: 40, parts: [{id: 'aa', tokens: 30}, {id: 'bb', tokens: 10}]}, lastEventId: '3',
	});
	const headers = targetProtocol.writeAttempt(facts, {
		targetId: 'i-1', remainingMilliseconds: 500.7, rank: 3, isPrefillOnly: false, handle: {address: '10.0.0.1:1', id: 'h'}, fetchFrom: undefined, lastEventId: '8',
	});
	const named = new Map(headers.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), headers[index + 1]] as const] : []));
	t.match(Object.fromEntries(named), {
		'x-kv-source': '10.0.0.1:1/h', 'x-deadline-ms': '500', 'x-expect-instance': 'i-1', 'x-request-priority': '3', 'last-event-id': '8', 'x-token-count': '40,5',
	});
	t.equal(headers.filter(name => name.toLowerCase() === 'last-event-id').length, 1);
	t.end();
});

const readTeam = (headers: readonly string[], team: RequestTeam): readonly string[] => targetProtocol.withTeam(targetProtocol.readRequest(headers), team).headers;

const ownTeamHeaders = ['Host', 'a', 'X-Credential', 'k-1', 'x-tenant', 'forged', 'X-CREDENTIAL', 'k-2', 'X-Own', 'kept'];

// Guards against a key that is forwarded to a target, and against a caller that names a team itself.
test('an attempt carries the name of its team and no key, whatever the caller sent in either header', t => {
	t.strictSame(readTeam(ownTeamHeaders, {kind: 'team', name: 'lots', priority: 0}), ['Host', 'a', 'X-Own', 'kept', 'X-Tenant', 'lots']);
	t.strictSame(readTeam(ownTeamHeaders, {kind: 'anonymous'}), ['Host', 'a', 'X-Own', 'kept']);
	t.strictSame(readTeam(['Connection', 'x-tenant, x-credential', ...ownTeamHeaders], {kind: 'team', name: 'lots', priority: 0}), ['Host', 'a', 'X-Own', 'kept', 'X-Tenant', 'lots']);
	t.strictSame(readTeam(ownTeamHeaders, {kind: 'none'}), ownTeamHeaders, 'both are headers like any other without teams');
	t.end();
});

test('all keys of a request are read, in order, also one that is named as a hop-by-hop header', t => {
	t.strictSame(targetProtocol.readCredentials(ownTeamHeaders), ['k-1', 'k-2']);
	t.strictSame(targetProtocol.readCredentials(['Connection', 'X-Credential', 'x-credential', '']), ['']);
	t.strictSame(targetProtocol.readCredentials(['Host', 'X-Credential', 'X-Tenant', 'k-1']), []);
	t.end();
});

// Guards against a wrong load header that ends an answer, or that is taken for a load.
test('the load that a target reports is decoded, and a malformed one is ignored and marked', t => {
	const read = (load: string | readonly string[] | undefined) => {
		const facts = targetProtocol.readAnswer(200, load === undefined ? {} : {'x-replica-load': load});
		return {load: facts.load, isLoadMalformed: facts.isLoadMalformed};
	};

	t.strictSame(read(undefined), {load: undefined, isLoadMalformed: false});
	t.strictSame(read('3,0,8'), {
		load: {
			running: 3, waiting: 0, slots: 8, slowdown: undefined,
		}, isLoadMalformed: false,
	});
	t.strictSame(read(' 12, 4 ,8,250'), {
		load: {
			running: 12, waiting: 4, slots: 8, slowdown: 2.5,
		}, isLoadMalformed: false,
	});
	const malformed = ['', '3', '3,0', '3,0,8,', '3,0,8,100,1', '3,0,0', '-1,0,8', '1.5,0,8', '1e3,0,8', '0x3,0,8', 'NaN,0,8', '3,0,99999999', '3,0,8,0', '3,0,8,10001', '3;0;8', `${'1,'.repeat(100_000)}8`, ['3,0,8', '3,0,8']];
	for (const load of malformed) {
		t.strictSame(read(load), {load: undefined, isLoadMalformed: true}, String(load).slice(0, 40));
	}

	t.notOk('x-replica-load' in targetProtocol.readAnswer(200, {'x-replica-load': '3,0,8'}).headers);
	t.end();
});

// Guards against a malformed limit that is kept, or that counts as the end of one.
test('the rate limit that a target names is decoded, and anything but one decimal number is malformed', t => {
	const read = (value: string | readonly string[] | undefined) => targetProtocol.readAnswer(200, value === undefined ? {} : {'server-limit': value}).rateLimit;
	t.strictSame(read(undefined), {kind: 'none'});
	for (const [text, requestsPerSecond] of [['8.6', 8.6], [' 4.2 ', 4.2], ['0', 0], ['0.4', 0.4], ['120', 120]] as const) {
		t.strictSame(read(text), {kind: 'named', requestsPerSecond}, text);
	}

	for (const text of ['', 'abc', '-3', '+3', '1e400', '1e2', '8,6', '8.6.1', '.5', '5.', '0x8', 'NaN', 'Infinity', '1'.repeat(10), '1'.repeat(100_000), ['8.6', '4.2']]) {
		t.strictSame(read(text), {kind: 'malformed'}, String(text).slice(0, 40));
	}

	t.notOk('server-limit' in targetProtocol.readAnswer(200, {'server-limit': '8.6'}).headers);
	t.end();
});
