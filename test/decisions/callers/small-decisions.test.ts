/**
Connections, turns, memory and targets under clients that are not controlled.
*/
import {test} from 'tap';
import {chooseIdleConnection} from '../../../source/decisions/callers/choose-idle-connection.js';
import {memoryShares} from '../../../source/decisions/callers/memory-shares.js';
import {CallerTurns} from '../../../source/decisions/callers/caller-turns.js';
import {TargetHoldings} from '../../../source/decisions/callers/target-holdings.js';

const bytesPerMegabyte = 1_048_576;

// Guards against pipelined requests that keep the event loop from everyone else, or of which one connection takes all turns.
test('FAULT: of many connections with pipelined requests only a few go on in each turn of the loop, each as often as the others', t => {
	const turns = new CallerTurns<number>();
	const begun = new Map<number, number>();
	for (let connection = 0; connection < 200; connection++) {
		turns.ask(connection);
	}

	for (let turn = 0; turn < 1000; turn++) {
		const next = turns.takeNext();
		t.ok(next.length <= 8);
		for (const connection of next) {
			begun.set(connection, (begun.get(connection) ?? 0) + 1);
			turns.ask(connection);
		}
	}

	t.strictSame([...new Set(begun.values())], [40]);
	turns.remove(7);
	t.equal(turns.waitingCount, 199);
	t.end();
});

// Guards against silent connections that keep new callers out, and against closing one whose request may be running.
test('LOST: a connection that brought nothing goes before idle ones, those before unfinished requests and unread answers, and running ones never', t => {
	const connection = (phase: 'silent' | 'idle' | 'incoming' | 'answered' | 'running', address: string, activeAt: number) => ({phase, address, activeAt});
	const all = [
		connection('running', 'crowd', 0),
		connection('answered', 'crowd', 0),
		connection('incoming', 'crowd', 0),
		connection('idle', 'crowd', 1),
		connection('silent', 'a', 0),
		connection('silent', 'crowd', 9),
		connection('silent', 'crowd', 5),
	];
	const left = [...all];
	const closed: unknown[] = [];
	for (let victim = chooseIdleConnection(left); victim !== undefined; victim = chooseIdleConnection(left)) {
		closed.push(`${victim.phase} ${victim.address} ${victim.activeAt}`);
		left.splice(left.indexOf(victim), 1);
	}

	t.strictSame(closed, ['silent crowd 5', 'silent crowd 9', 'silent a 0', 'idle crowd 1', 'incoming crowd 0', 'answered crowd 0']);
	t.strictSame(left.map(({phase}) => phase), ['running']);
	t.end();
});

// Guards against limits that together exceed the memory of the VM, or that one request of 4 MB meets.
test('what callers and targets may hold fits beside the process itself on VMs of 210 to 602 MB', t => {
	for (const memoryMegabytes of [210, 350, 602]) {
		const {callerBytes, answerBytes, targetBytes} = memoryShares({memoryMegabytes, descriptors: 2212});
		t.ok(callerBytes + answerBytes <= (memoryMegabytes - 164) * bytesPerMegabyte, String(memoryMegabytes));
		t.ok(callerBytes >= 2 * 4_194_304);
		t.ok(targetBytes >= 4_194_304);
		t.ok(targetBytes < callerBytes);
	}

	t.ok(memoryShares({memoryMegabytes: 64, descriptors: 10}).callerBytes >= 2 * 4_194_304);
	t.equal(memoryShares({descriptors: 2212}).connections, 1327);
	t.strictSame(memoryShares({}), memoryShares({memoryMegabytes: 210, descriptors: 2212}));
	t.end();
});

// Guards against a target that does not answer and keeps the requests for all others out.
test('LOST: a target that does not answer holds no more than its share, but always one request', t => {
	const holdings = new TargetHoldings(1000);
	t.ok(holdings.tryReplace('one', 0, 1500));
	t.notOk(holdings.tryReplace('one', 0, 10));
	t.ok(holdings.tryReplace('other', 0, 900));
	t.equal(holdings.largest, 1500);
	t.ok(holdings.tryReplace('one', 1500, 0));
	t.ok(holdings.tryReplace('one', 0, 600));
	t.notOk(holdings.tryReplace('one', 0, 600));
	t.equal(holdings.largest, 900);
	t.end();
});
