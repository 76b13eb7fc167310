/**
Tests when reports are decided, recalled, sent and given up: the platform is slow or down, holders change, and counts are late.
*/
import {test} from 'tap';
import {ReportPlan} from '../../../source/decisions/duties/report-plan.js';

const times = {windowMilliseconds: 5000, dueMilliseconds: 10_000};
const end = 11 * times.windowMilliseconds;
/** Window 10 is the only one that anyone counted in. */
const view = (time: number, isComplete = true) => ({time, isComplete: () => isComplete, covers: (window: number) => window >= 10});
const stepsOf10 = (plan: ReportPlan, time: number, isComplete = true) => plan.steps(view(time, isComplete), time).filter(({window}) => window === 10);
const decide = (plan: ReportPlan, content: string): void => {
	stepsOf10(plan, end + 500);
	plan.recordStored(10, content);
};

// Guards against a report that lacks counts which arrive a little later, and against one that is never made because a gateway has gone.
test('a report is decided when its counts are complete, or when it becomes late', t => {
	const plan = new ReportPlan(times);
	t.strictSame(stepsOf10(plan, end + 300), []);
	t.strictSame(stepsOf10(plan, end + 6000, false), []);
	t.match(stepsOf10(plan, end + 6600, false), [{kind: 'decide', isComplete: false, content: undefined}]);
	t.match(stepsOf10(new ReportPlan(times), end + 500), [{kind: 'decide', isComplete: true}]);
	t.end();
});

// Guards against two contents of one window: nothing is sent that the store does not have.
test('a report is sent once the store has it, and what the store has is sent', t => {
	const plan = new ReportPlan(times);
	t.match(stepsOf10(plan, end + 500), [{kind: 'decide'}]);
	t.strictSame(stepsOf10(plan, end + 600), [], 'each step is taken once');
	plan.recordStored(10, '{"cork":2}');
	t.match(stepsOf10(plan, end + 700), [{kind: 'send', content: '{"cork":2}'}]);
	plan.recordAccepted(10);
	t.strictSame(stepsOf10(plan, end + 5000), []);
	t.end();
});

test('a report that is not accepted is repeated with growing pauses, until some time after it was due', t => {
	const plan = new ReportPlan(times);
	decide(plan, '{}');
	const sent: number[] = [];
	for (let time = end + 500; time < end + 40_000; time += 100) {
		for (const _ of stepsOf10(plan, time)) {
			sent.push(time - end);
			plan.recordFailure(10, time);
		}
	}

	t.strictSame(sent.slice(0, 4), [500, 800, 1400, 2600]);
	t.ok(sent.at(-1)! < 20_000 && sent.at(-1)! > 17_000);
	t.strictSame(plan.forget(end + 40_000), [10], 'it is named when it is given up');
	t.end();
});

// Guards against a second content after the store has come back from a copy without the first.
test('what another gateway has decided is written to the store again as it was', t => {
	const plan = new ReportPlan(times);
	plan.remember(10, '{"cork":2}', false);
	plan.remember(10, '{"cork":3}', false);
	t.match(stepsOf10(plan, end + 500, false), [{kind: 'decide', content: '{"cork":2}'}]);
	plan.recordStored(10, '{"cork":2}');
	plan.begin();
	t.match(stepsOf10(plan, end + 600), [{kind: 'decide', content: '{"cork":2}'}], 'the store is asked again under a new lease');
	plan.remember(10, '{"cork":2}', true);
	plan.begin();
	t.strictSame(stepsOf10(plan, end + 700), [], 'it has been accepted meanwhile');
	t.end();
});

test('an overdue report is only repeated, if the store has it', t => {
	const plan = new ReportPlan(times);
	t.match(stepsOf10(plan, end + 10_100), [{kind: 'recall'}]);
	plan.recordAbsent(10);
	t.strictSame(stepsOf10(plan, end + 10_300), []);
	const other = new ReportPlan(times);
	stepsOf10(other, end + 10_100);
	other.recordStored(10, '{}');
	t.match(stepsOf10(other, end + 10_300), [{kind: 'send'}]);
	t.end();
});

test('a window in which nobody counted is not reported', t => {
	const plan = new ReportPlan(times);
	t.strictSame(plan.steps({...view(end + 500), covers: () => false}, 0).filter(({kind}) => kind === 'decide'), []);
	t.end();
});
