/**
The last check before the first byte of an attempt, and when an answer proves that its prompt crashes no engine.
*/
import {test} from 'tap';
import type {EntryContext} from '../../source/entry/entry-context.js';
import {QuarantineGate} from '../../source/entry/quarantine-gate.js';
import type {RequestLifecycle} from '../../source/entry/request-lifecycle.js';

type Held = ReturnType<EntryContext['quarantine']['check']>;

const held: Held = {
	parts: ['bad'], crashes: 4, lastCrashAge: 100, trialDueIn: 200,
};

/** A gate of a request with two parts, and what it does. */
const start = () => {
	const state = {
		now: 0, held: undefined as Held, started: 0, refusals: [] as unknown[], answered: [] as unknown[],
	};
	const context = {
		now: () => state.now,
		quarantine: {
			check: () => state.held,
			recordAnswered(parts: readonly string[]) {
				state.answered.push(parts);
			},
		},
	} as unknown as EntryContext;
	const lifecycle = {
		request: {facts: {requestId: 'r1'}},
		log: {add: () => undefined},
		tryStartAttempt() {
			state.started++;
			return true;
		},
		refuse(...values: readonly unknown[]) {
			state.refusals.push(values);
		},
	} as unknown as RequestLifecycle;
	return {state, gate: new QuarantineGate(context, lifecycle, ['system', 'bad'])};
};

test('BUDGET: a prompt that is quarantined while its attempt waits for a connection is not sent', async t => {
	const {state, gate} = start();
	t.notOk(gate.refuseHeld());
	state.held = held;
	t.notOk(gate.mayStartAttempt());
	t.equal(state.started, 0, 'nothing is charged for it');
	t.ok(gate.refuseHeld());
	t.strictSame(state.refusals, [[1021, 200]]);
});

test('a prompt counts as answered once, when its answer is whole or has gone on for half a second', async t => {
	const {state, gate} = start();
	t.ok(gate.mayStartAttempt());
	state.now = 1000;
	gate.recordEvents();
	state.now = 1499;
	gate.recordEvents();
	t.strictSame(state.answered, []);
	state.now = 1500;
	gate.recordEvents();
	gate.recordAnswered();
	t.strictSame(state.answered, [['system', 'bad']]);
});

test('the events of an attempt that was lost prove nothing for the next', async t => {
	const {state, gate} = start();
	gate.mayStartAttempt();
	gate.recordEvents();
	state.now = 600;
	gate.mayStartAttempt();
	gate.recordEvents();
	t.strictSame(state.answered, []);
});
