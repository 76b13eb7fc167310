/**
What gateways tell each other of parts that crash engines, how a quarantine ends, and who ends it.
*/
import {test} from 'tap';
import {PromptQuarantine} from '../../source/entry/prompt-quarantine.js';
import {logger} from '../../source/shared/logger.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';

const second = 1000;
const trialPause = 300 * second;
const names = ['gateway-1', 'gateway-2', 'gateway-3'];

const target = (number: number): TargetRecord => ({
	id: `i-${number}`, incarnation: `i-${number} 1`, bornAt: 1, service: 's', address: '10.1.0.1:80', availabilityZone: 'a', isDraining: false, slots: 8, role: 'decode',
});

const clock = {now: 0};

/** A gateway's quarantine, and the events that it logs. */
const start = (name: string, peers = names.filter(other => other !== name)): {readonly quarantine: PromptQuarantine; readonly events: unknown[]} => {
	const events: unknown[] = [];
	const write = (context: unknown): void => {
		events.push((context as {readonly event: string}).event);
	};

	return {
		events,
		quarantine: new PromptQuarantine({
			name,
			peers: () => peers,
			onCrash: () => undefined,
			onChange: () => undefined,
			log: Object.assign(logger.child({}), {info: write, warn: write}),
			metrics: {count: () => undefined, gauge: () => undefined},
			now: () => clock.now,
		}),
	};
};

const lose = (quarantine: PromptQuarantine, number: number, parts: readonly string[]): void => {
	quarantine.recordLoss({
		target: target(number), requests: [{requestId: `r${number}`, parts}], at: clock.now, isCrash: true,
	});
};

const pass = (from: PromptQuarantine, to: PromptQuarantine): void => {
	const news = from.takeNews();
	if (news !== undefined) {
		to.adopt('peer', structuredClone(news));
	}
};

test('a gateway knows a part by crashes that each of its peers has seen one of', async t => {
	const [first, other] = [start('gateway-1'), start('gateway-2')];
	for (let number = 0; number < 4; number++) {
		clock.now = number * second;
		lose((number % 2 === 0 ? first : other).quarantine, number, ['bad', `own-${number}`]);
		pass(first.quarantine, other.quarantine);
		pass(other.quarantine, first.quarantine);
	}

	t.match(first.quarantine.check('r', ['bad']), {parts: ['bad'], crashes: 4});
	t.match(other.quarantine.check('r', ['bad']), {parts: ['bad'], crashes: 4});
	t.notOk(other.quarantine.check('r', ['own-1']));
	t.strictSame(other.events, ['quarantine began']);
});

test('a gateway that starts or was cut off learns all from the report of one peer', async t => {
	const [first, late] = [start('gateway-1'), start('gateway-2')];
	for (let number = 0; number < 4; number++) {
		clock.now = number * second;
		lose(first.quarantine, number, ['bad', 'caller']);
	}

	clock.now += second;
	first.quarantine.recordAnswered(['caller']);
	late.quarantine.adopt('gateway-1', first.quarantine.report()!);
	t.match(late.quarantine.check('r', ['bad']), {parts: ['bad'], lastCrashAge: second});
	t.strictSame(late.quarantine.list(), first.quarantine.list());
});

test('an answer at one gateway ends the quarantine at another', async t => {
	const [first, other] = [start('gateway-1'), start('gateway-2')];
	for (let number = 0; number < 4; number++) {
		clock.now = number * second;
		lose(first.quarantine, number, ['sound']);
		pass(first.quarantine, other.quarantine);
	}

	t.ok(first.quarantine.check('r', ['sound']));
	clock.now += second;
	other.quarantine.recordAnswered(['sound']);
	pass(other.quarantine, first.quarantine);
	t.notOk(first.quarantine.check('r', ['sound']));
	t.strictSame(first.events, ['quarantine began', 'quarantine ended']);
});

test('crashes that are no crashes, and prompts without shared parts, hold nothing back', async t => {
	const {quarantine} = start('gateway-1');
	for (let number = 0; number < 8; number++) {
		clock.now = number * second;
		quarantine.recordLoss({
			target: target(number), requests: [{requestId: 'r', parts: ['sound']}], at: clock.now, isCrash: false,
		});
		lose(quarantine, 100 + number, []);
	}

	t.strictSame(quarantine.list(), []);
	t.equal(quarantine.report(), undefined);
});

test('after a long time one gateway of all tries one prompt, and holds the others back', async t => {
	const gateways = names.map(name => start(name));
	clock.now = 0;
	for (let number = 0; number < 4; number++) {
		clock.now = number * second;
		for (const {quarantine} of gateways) {
			lose(quarantine, number, ['bad']);
		}
	}

	clock.now += trialPause - 1;
	t.ok(gateways.every(({quarantine}) => quarantine.check('r', ['bad']) !== undefined));
	clock.now++;
	const tried = gateways.filter(({quarantine}) => quarantine.check('tried', ['bad']) === undefined);
	t.equal(tried.length, 1);
	t.ok(tried[0]!.quarantine.check('other', ['bad']));
	t.notOk(tried[0]!.quarantine.check('tried', ['bad']));
	lose(tried[0]!.quarantine, 9, ['bad']);
	t.match(tried[0]!.quarantine.check('tried', ['bad']), {crashes: 5, trialDueIn: trialPause});
});

test('an operator lifts a quarantine at all gateways', async t => {
	const [first, other] = [start('gateway-1'), start('gateway-2')];
	for (let number = 0; number < 4; number++) {
		clock.now = number * second;
		lose(first.quarantine, number, ['bad']);
		pass(first.quarantine, other.quarantine);
	}

	t.notOk(other.quarantine.lift('unknown'));
	t.ok(other.quarantine.lift('bad'));
	pass(other.quarantine, first.quarantine);
	t.strictSame(first.quarantine.list(), []);
});
