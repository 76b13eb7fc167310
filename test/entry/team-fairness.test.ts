/**
The shells around fairness between teams: usage that gateways report to each other, prompts
in a gateway's queue, and calls to an overloaded plain service.
*/
import type {Logger} from 'roarr';
import {test} from 'tap';
import {WindowedRetryBudget} from '../../source/decisions/entry/requests/windowed-retry-budget.js';
import {TargetHealth} from '../../source/decisions/entry/targets/target-health.js';
import {TargetPauses} from '../../source/decisions/entry/targets/target-pauses.js';
import {TargetRegistry} from '../../source/decisions/entry/targets/target-registry.js';
import type {AttemptSender} from '../../source/entry/attempt-sender.js';
import type {CallerRequest} from '../../source/entry/caller-request.js';
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {EntryMetrics} from '../../source/entry/entry-metrics.js';
import {LoadTracker} from '../../source/entry/load-tracker.js';
import {PlainRelay} from '../../source/entry/plain-relay.js';
import {TeamFairness} from '../../source/entry/team-fairness.js';
import {validatePeerMessages} from '../../source/generated/validators.js';
import type {PeerMessage} from '../../source/generated/peer-messages.js';
import {loneRateLimits} from '../support/lone-rate-limits.js';
import {LoneGateway} from '../support/lone-gateway.js';
import {VirtualQueueGateway} from '../support/virtual-queue-gateway.js';
import {VirtualTime} from '../support/virtual-time.js';

type Team = CallerRequest['team'];

const slots = 8;

const requestOf = (requestId: string, team: Team, remaining: number, more: {readonly sent?: (status: number, seconds: number | undefined) => void} = {}): CallerRequest => ({
	facts: {
		requestId, patienceMilliseconds: remaining, prompt: undefined, lastEventId: undefined, headers: [],
	},
	route: {
		name: 'prices', kind: 'idempotent', priority: 0, mostAttempts: 1, targetLatencyMilliseconds: 400,
	} as unknown as CallerRequest['route'],
	urgency: {order: 0, levels: undefined},
	recheckAccess: () => ({kind: 'unchanged'}),
	service: 'floor',
	team,
	configurationVersion: 1,
	method: 'GET',
	path: '/',
	body: undefined,
	answer: {
		isStarted: false,
		onDisconnect: () => undefined,
		send: () => undefined,
		sendError(code: number, _: unknown, seconds?: number) {
			more.sent?.(code, seconds);
		},
	} as unknown as CallerRequest['answer'],
	startedAt: 0,
	deadlineAt: remaining,
});

const harbour: Team = {kind: 'team', name: 'harbour', priority: 0};

/** A gateway before two targets, each with this many calls in progress. */
const createContext = (attempts: number) => {
	const time = new VirtualTime();
	const targetRegistry = new TargetRegistry(1200);
	const targets = ['i-1', 'i-2'].map(id => ({...LoneGateway.target(id), service: 'floor', slots}));
	targetRegistry.adopt({era: 1, revision: 1, targets}, 0, 0);
	const loadTracker = new LoadTracker();
	for (const {id} of targets) {
		Array.from({length: attempts}, () => loadTracker.add(id, 0));
	}

	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const metrics = new EntryMetrics();
	const context: Partial<EntryContext> = {
		settings: () => ({name: 'gateway-1', availabilityZone: 'a'} as unknown as ReturnType<EntryContext['settings']>),
		protocol: {writeRefusal: () => ({})} as unknown as EntryContext['protocol'],
		targetRegistry,
		loadTracker,
		fairness: new TeamFairness({metrics, now: () => time.now}),
		capacity: new LearnedCapacity(),
		health: new TargetHealth(),
		pauses: new TargetPauses(),
		rateLimits: loneRateLimits(() => time.now),
		openRequests: new Set(),
		metrics,
		log: {
			info(line: Readonly<Record<string, unknown>>) {
				lines.push(line);
			},
		} as unknown as Logger,
		sampling: {mayWrite: () => true, onOmitted: () => undefined},
		now: () => time.now,
		timers: time,
		random: () => 0.5,
		gatewayCount: () => 1,
		service: () => undefined,
		retryBudget: () => new WindowedRetryBudget({
			share: 0.2, windowMilliseconds: 10_000, extra: 50, isFirstStart: true,
		}),
	};
	const full = context as EntryContext;
	full.fairness.recordAnsweredCall(requestOf('learned', harbour, 1000), 100, {attempts: 1}, {slots});
	return {context: full, lines};
};

const run = async (context: EntryContext, request: CallerRequest): Promise<number> => {
	let sent = 0;
	const sender: Partial<AttemptSender> = {
		send() {
			sent++;
			return {outcome: Promise.resolve({kind: 'not run', isOtherTarget: false}), cancel: () => undefined};
		},
	};
	await new PlainRelay(request, context, sender as AttemptSender).run();
	return sent;
};

test('REFUSED: a call that its overloaded targets cannot answer in time is refused as not run before any attempt, with a line that says why', async t => {
	const {context, lines} = createContext(slots * 30);
	const answers: Array<readonly [number, number | undefined]> = [];
	const request = requestOf('9c41', harbour, 1500, {sent: (code, seconds) => answers.push([code, seconds])});
	t.equal(await run(context, request), 0);
	t.equal(answers[0]?.[0], 1002);
	t.ok(answers[0]![1]! > 0 && answers[0]![1]! <= 0.5, 'a third of the time that the caller has left at most');
	t.match(lines.find(({event}) => event === 'call refused: its targets are overloaded'), {
		request: '9c41', team: 'harbour', expectedMilliseconds: 3000, remaining: 1500, teamUsedMilliseconds: Number, teamShareMilliseconds: Number,
	});
	t.match(lines.find(({event}) => event === 'request ended'), {request: '9c41', team: 'harbour', outcome: 'refused'});
	t.match(context.metrics.render(), /cowsliprudder_fairness_call_refused 1/);
});

test('REFUSED: the same call is sent while slots are free, and where no teams are configured', async t => {
	t.ok(await run(createContext(slots - 1).context, requestOf('r1', harbour, 1500)) > 0);
	t.ok(await run(createContext(slots * 30).context, requestOf('r1', {kind: 'none'}, 1500)) > 0);
});

test('callers whose calls are refused together are told to come back one after the other', async t => {
	const {context} = createContext(slots * 30);
	const seconds: number[] = [];
	for (const index of Array.from({length: 20}).keys()) {
		await run(context, requestOf(`r${index}`, harbour, 1500, {sent: (_, delay) => seconds.push(delay!)})); // eslint-disable-line no-await-in-loop
	}

	t.equal(seconds.length, 20);
	t.ok(seconds.every((delay, index) => index === 0 || delay > seconds[index - 1]!));
});

test('a request without a known key counts for one account that all such requests share, and comes after all teams', t => {
	const {context: {fairness}} = createContext(0);
	t.strictSame(fairness.accountOf({kind: 'anonymous'}), {team: '', teamPriority: 1});
	fairness.accountOf({kind: 'team', name: 'pier', priority: 3});
	t.strictSame(fairness.accountOf({kind: 'anonymous'}), {team: '', teamPriority: 4});
	t.strictSame(fairness.accountOf(harbour), {team: 'harbour', teamPriority: 0});
	t.end();
});

test('usage goes to the peers as a valid part of a digest, once, and counts there for services that they know', t => {
	const {context: {fairness: first}} = createContext(0);
	const {context: {fairness: second}} = createContext(0);
	const usage = first.takeReport(22)!;
	t.match(usage, [{
		service: 'floor', teams: ['harbour'], milliseconds: [13], refused: [],
	}]);
	const digest = LoneGateway.digestOf({usage});
	t.ok(validatePeerMessages(digest), 'a digest with usage is valid');
	t.ok(validatePeerMessages(LoneGateway.digestOf()), 'a digest of a gateway without teams is valid');
	const malformed = [{...usage[0]!, milliseconds: ['much'] as unknown as number[]}];
	t.notOk(validatePeerMessages(LoneGateway.digestOf({usage: malformed})), 'a malformed figure is not');
	const before = second.facts(requestOf('r1', harbour, 1));
	second.recordReport(usage, () => false);
	t.strictSame(second.facts(requestOf('r1', harbour, 1)), before);
	second.recordReport(usage, () => true);
	t.match(second.facts(requestOf('r1', harbour, 1)), {team: 'harbour', teamUsedMilliseconds: 26});
	t.equal(first.takeReport(22), undefined);
	t.end();
});

test('usage reaches the peers in a digest though nothing else has changed', async t => {
	const {time, gateway, heard} = new LoneGateway();
	await time.run(5000);
	const withUsage = (): ReadonlyArray<Extract<PeerMessage, {kind: 'digest'}>> => heard.flatMap(message => message.kind === 'digest' && message.usage !== undefined ? [message] : []);
	t.equal(withUsage().length, 0);
	gateway.fairness.recordAnsweredCall(requestOf('r1', harbour, 1000), 100, {attempts: 1}, {slots});
	await time.run(8000);
	t.match(withUsage().map(({usage}) => usage), [[{
		service: 'floor', teams: ['harbour'], milliseconds: [13], refused: [],
	}]]);
	gateway.kill();
});

test('TEAMS: in a gateway\'s queue, a prompt of another team is placed before the rest of a large team\'s burst that came first', async t => {
	const time = new VirtualTime();
	const targets = (['prefill', 'decode'] as const).map(role => ({
		...LoneGateway.target(role), service: 'models', role, slots: role === 'decode' ? 1 : 64,
	}));
	const gateway = new VirtualQueueGateway({
		name: 'gateway-1', time, targets, gateways: new Map(), wayMilliseconds: () => 1,
	});
	gateway.loadTracker.add('decode', 0);
	const placed: string[] = [];
	const place = (id: string, team: string): void => {
		gateway.enqueue(id, verdict => {
			placed.push(id);
			if (verdict.kind === 'placed') {
				time.after(verdict.placement.readMilliseconds, () => {
					gateway.loadTracker.remove(verdict.entry);
					gateway.processSoon();
				});
			}
		}, team);
	};

	for (const index of Array.from({length: 8}).keys()) {
		place(`large-${index}`, 'large');
	}

	place('small', 'small');
	await time.run(600);
	t.strictSame(placed.slice(0, 2), ['large-0', 'small']);
});

test('targets without a view are no reason to refuse a call as overloaded', t => {
	const {context: {fairness}} = createContext(0);
	t.equal(fairness.admitCall(requestOf('r1', harbour, 1), () => []).kind, 'admit');
	t.end();
});
