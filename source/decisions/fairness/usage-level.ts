/**
Grades what a team has used against its share.

An order by exact usage would ignore which prompts are due first, and would change with
each request. In grades, prompts of teams that have used about as much keep their order.
*/

/** Levels for each doubling of the share. */
const levelsPerDoubling = 2;
/** From here on, about a thousand times the share, no difference is made. */
const maxLevel = 20;

/**
Returns 0 up to the share, and one more for each factor of 1.4 beyond it.

@example
```
usageLevel(300, 100); // 4
```
*/
export const usageLevel = (usedMilliseconds: number, shareMilliseconds: number): number => usedMilliseconds <= shareMilliseconds
	? 0
	: Math.min(maxLevel, 1 + Math.floor(levelsPerDoubling * Math.log2(usedMilliseconds / shareMilliseconds)));
