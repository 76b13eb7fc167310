/**
Connections, turns, memory and targets under clients that are not controlled.
*/
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {chooseIdleConnection} from '../../../source/decisions/callers/choose-idle-connection.js';
import {headCost} from '../../../source/decisions/callers/head-cost.js';
import {HeadHoldings} from '../../../source/decisions/callers/head-holdings.js';
import {memoryShares} from '../../../source/decisions/callers/memory-shares.js';
import {CallerTurns} from '../../../source/decisions/callers/caller-turns.js';
import {TargetHoldings} from '../../../source/decisions/callers/target-holdings.js';
import {sharedPrefix} from '../../../source/decisions/entry/prompts/shared-prefix.js';
import {targetProtocol} from '../../../platform/target-protocol.js';
import {heldHeap} from '../../support/held-heap.js';

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

// Guards against requests of large heads that together use up the heap, and keep out those of ordinary ones.
test('LOST: heads are refused once they take their share of the heap, ordinary ones a little later, and one head always has room', t => {
	const heads = new HeadHoldings(1_000_000);
	const large = 250_000;
	const small = 5000;
	t.strictSame(Array.from({length: 6}, () => heads.tryHold(large)), [true, true, true, true, false, false]);
	t.strictSame(Array.from({length: 60}, () => heads.tryHold(small)).filter(Boolean).length, 50);
	heads.release(large);
	t.notOk(heads.tryHold(large), 'what ordinary ones hold beyond the limit is given back first');
	t.equal(heads.total, (3 * large) + (50 * small));
	t.ok(new HeadHoldings(10).tryHold(large));
	t.end();
});

// Guards against an estimate below what a head takes: that of a list of parts is ten times its text.
test('the cost of a head is no less than what the facts of its request take', t => {
	const real = (text: string): string => Buffer.from(text).toString('latin1');
	const heads: ReadonlyArray<() => readonly string[]> = [
		() => ['Host', real('a.example'), 'X-Request-Id', real('9c41d07be2a35f68')],
		() => ['X-Request-Id', real('9c41'), 'X-Token-Count', real('2200,17'), 'X-Prompt-Prefix', real(Array.from({length: 2200}, (_, index) => `${(4096 + index).toString(16)}:1`).join(','))],
		() => Array.from({length: 1000}, (_, index) => [real(`a${index}`), real(`value ${index}`)]).flat(),
		() => ['X-Request-Id', real('x'.repeat(15_800))],
	];
	for (const [index, head] of heads.entries()) {
		const requests = 40;
		const bytes = heldHeap(() => Array.from({length: requests}, () => {
			const rawHeaders = head();
			const facts = targetProtocol.readRequest(rawHeaders);
			const prefix = sharedPrefix(facts);
			return [rawHeaders, facts, prefix, prefix.parts.map(({id}) => id)];
		})) / requests;
		const cost = headCost(head(), '/a/1');
		t.ok(bytes <= cost, `head ${index}: ${Math.round(bytes)} bytes held, ${cost} counted`);
	}

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
