/**
Answers without end that are cut into small pieces, at an entry gateway that runs as a process of its own.
*/
import {test} from 'tap';
import {cuts} from '../../experiments/doors/cuts.js';
import {playCut} from '../../experiments/doors/play-cut.js';

const seconds = 2.5;
const minBegun = 5;

for (const cut of cuts) {
	// Guards against an object, a write and a call for each piece, which used up the memory and the time of all requests.
	test(`LOST, FAULT: bids at a sound target are answered beside ten answers without end: ${cut.name}`, {timeout: 120_000}, async t => {
		const {bids, answered, begun, problems} = await playCut(cut, {seconds});
		t.strictSame(problems, []);
		t.ok(begun >= minBegun, `${begun} answers without end were begun`);
		t.equal(answered, bids);
	});
}
