/**
Both forms of `Retry-After`, and text that is neither.
*/
import {test} from 'tap';
import {parseRetryAfter} from '../../source/shared/parse-retry-after.js';

const answeredAt = Date.parse('Fri, 04 Dec 2026 12:00:00 GMT');

test('seconds, also with a fraction', t => {
	t.equal(parseRetryAfter('2', answeredAt), 2000);
	t.equal(parseRetryAfter(' 0.25 ', answeredAt), 250);
	t.end();
});

test('a date counts from the date of the answer', t => {
	t.equal(parseRetryAfter('Fri, 04 Dec 2026 12:00:05 GMT', answeredAt), 5000);
	t.equal(parseRetryAfter('Fri, 04 Dec 2026 11:00:00 GMT', answeredAt), 0, 'a date in the past');
	t.end();
});

test('anything else is no delay', t => {
	for (const text of ['', '-1', '1e9', 'soon', '2026-12-04', 'NaN', 'Infinity', '1,5']) {
		t.equal(parseRetryAfter(text, answeredAt), undefined, text);
	}

	t.end();
});
