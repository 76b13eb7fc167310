/**
Tests what the holder makes of the answers of the store and of the platform.
*/
import * as option from 'fp-ts/lib/Option.js';
import {err, ok} from 'neverthrow';
import {test} from 'tap';
import {CollectedUsage} from '../../source/decisions/duties/collected-usage.js';
import {ReportPlan} from '../../source/decisions/duties/report-plan.js';
import type {DutyLease} from '../../source/duties/duty-lease.js';
import {UsageReporter} from '../../source/duties/usage-reporter.js';
import type {DutyInterface} from '../../source/ports/duty-interface.js';
import type {LeaseStore} from '../../source/ports/lease-store.js';

type Transacted = Awaited<ReturnType<LeaseStore['transact']>>;
type Outcome = Awaited<ReturnType<DutyInterface['reportUsage']>>;

const leaseKey = 'cowsliprudder/duties/usage';
const window = 10;
const windowKey = `${leaseKey}/${window}`;
const time = (11 * 5000) + 500;
const written: Transacted = ok({kind: 'written', revision: 30, era: 1});

const start = (more: {readonly transacted?: Transacted; readonly stored?: string; readonly outcome?: Outcome}) => {
	const sent: string[] = [];
	const events: string[] = [];
	const transactions: Array<Parameters<LeaseStore['transact']>[0]> = [];
	let holding: {token: number; era: number; revision: number} | undefined = {token: 17, era: 1, revision: 17};
	const lose = (event: string): void => {
		events.push(event);
		holding = undefined;
	};

	const lease = {
		get holding() {
			return holding;
		},
		mayCall: () => holding !== undefined,
		giveUp(_: number, reason: string) {
			lose(reason);
		},
		recordLost() {
			lose('lost');
		},
	} as unknown as DutyLease;
	const collected = new CollectedUsage();
	collected.record({
		kind: 'usage', counter: 'a 1', firstWindow: window, completeThrough: window, isFinal: false, windows: [{window, teams: ['cork'], counts: [3]}],
	}, true, 0);
	const plan = new ReportPlan({windowMilliseconds: 5000, dueMilliseconds: 10_000});
	const reporter = new UsageReporter({
		name: 'a',
		leaseKey,
		callsPerSecond: 50,
		windowMilliseconds: 5000,
		lease,
		plan,
		collected,
		store: {
			async transact(transaction: Parameters<LeaseStore['transact']>[0]) {
				transactions.push(transaction);
				return more.transacted ?? written;
			},
			readItem: async (key: string) => ok({item: key === windowKey && more.stored !== undefined ? option.some({key, value: more.stored, revision: 9}) : option.none, era: 1}),
		} as unknown as LeaseStore,
		duties: {
			async reportUsage(_, content, {mayCall}) {
				if (mayCall()) {
					sent.push(content);
				}

				return more.outcome ?? {kind: 'accepted'};
			},
		},
		isComplete: () => true,
		onReport: () => undefined,
		log: {info: () => undefined, warn: () => undefined},
		metrics: {count: () => undefined},
		now: () => time,
	});
	const play = async (): Promise<void> => {
		for (let round = 0; round < 4; round++) {
			reporter.tick(time + round);
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop
				setImmediate(resolve);
			});
		}
	};

	return {
		play, sent, events, transactions, plan,
	};
};

// Guards against a write that is carried out late, under another holder: its report would replace what that one decides.
test('a report is written only while the lease is this gateway\'s, and only where there is none', async t => {
	const {play, sent, transactions} = start({});
	await play();
	t.strictSame(transactions[0]?.precondition, [{key: leaseKey, revision: 17}, {key: windowKey, revision: 0}]);
	t.strictSame(transactions[0]?.write, [{key: windowKey, value: '{"cork":3}'}]);
	t.ok(transactions[0]?.remove.every(key => key.startsWith(`${leaseKey}/`) && key !== windowKey));
	t.strictSame(sent, ['{"cork":3}']);
});

test('what the store has already is sent instead', async t => {
	const conflict = start({transacted: ok({kind: 'conflict', items: [{key: windowKey, value: '{"cork":2}', revision: 9}], era: 1})});
	await conflict.play();
	t.strictSame(conflict.sent, ['{"cork":2}']);
	const unnamed = start({transacted: ok({kind: 'conflict', items: [], era: 1}), stored: '{"cork":2}'});
	await unnamed.play();
	t.strictSame(unnamed.sent, ['{"cork":2}'], 'also where the answer does not say what it is');
});

// Guards against a holder that goes on although its lease has been lost or given to another gateway.
test('nothing is sent when the store shows that the lease is lost', async t => {
	const cases: readonly Transacted[] = [
		ok({kind: 'conflict', items: [{key: leaseKey, value: 'b', revision: 21}], era: 1}),
		ok({kind: 'conflict', items: [], era: 1}),
		ok({kind: 'no lease', era: 1}),
		ok({kind: 'written', revision: 30, era: 2}),
	];
	for (const transacted of cases) {
		const {play, sent, events} = start({transacted});
		await play(); // eslint-disable-line no-await-in-loop
		t.strictSame({sent, events}, {sent: [], events: ['lost']});
	}
});

test('a write without an answer is repeated, and nothing is sent before', async t => {
	const {play, sent, events, plan} = start({transacted: err({kind: 'unknown', detail: 'no answer'})});
	await play();
	t.strictSame({sent, events}, {sent: [], events: []});
	t.match(plan.steps({time: time + 400, isComplete: () => true, covers: at => at === window}, time + 400).filter(step => step.window === window), [{kind: 'decide'}]);
});

// Guards against a rejected holder that calls again with its token.
test('a refused token is not used again', async t => {
	const {play, sent, events} = start({outcome: {kind: 'fenced'}});
	await play();
	t.strictSame({sent, events}, {sent: ['{"cork":3}'], events: ['fenced']});
});
