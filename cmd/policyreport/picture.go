package main

import (
	"os"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"geraniumline/measurer"
)

const (
	pictureWidth  = 16 * vg.Centimeter
	pictureHeight = 20 * vg.Centimeter
)

// figure is one of the plots of the picture.
type figure struct {
	label      string
	legendLeft bool
	read       func(p measurer.Point) float64
}

var figures = []figure{
	{"attainment of offered requests", false, func(p measurer.Point) float64 { return p.Attainment }},
	{"endpoint ms for an answer in time", true, func(p measurer.Point) float64 { return p.Cost }},
}

// drawPicture draws attainment and cost against load, a line for each way.
func drawPicture(points []measurer.Point) (*vgsvg.Canvas, error) {
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	tiles := draw.Tiles{Rows: len(figures), Cols: 1, PadY: vg.Centimeter}
	area := draw.New(canvas)
	for i, f := range figures {
		p, err := f.plot(points)
		if err != nil {
			return nil, err
		}
		p.Draw(tiles.At(area, 0, i))
	}
	return canvas, nil
}

func (f figure) plot(points []measurer.Point) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "offered load, as a multiple of the capacity"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks(ticks(points))
	p.Y.Label.Text = f.label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = f.legendLeft
	var lines []any
	for _, way := range ways(points) {
		lines = append(lines, way, f.line(points, way))
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

func (f figure) line(points []measurer.Point, way string) plotter.XYs {
	var line plotter.XYs
	for _, p := range points {
		if p.Policy == way {
			line = append(line, plotter.XY{X: p.Load, Y: f.read(p)})
		}
	}
	return line
}

func ways(points []measurer.Point) []string {
	var names []string
	for _, p := range points {
		if !slices.Contains(names, p.Policy) {
			names = append(names, p.Policy)
		}
	}
	return names
}

func ticks(points []measurer.Point) []plot.Tick {
	var marks []plot.Tick
	for _, p := range points {
		mark := plot.Tick{Value: p.Load, Label: strconv.FormatFloat(p.Load, 'g', -1, 64)}
		if !slices.Contains(marks, mark) {
			marks = append(marks, mark)
		}
	}
	return marks
}

// writePicture writes the picture as SVG.
func writePicture(path string, points []measurer.Point) (err error) {
	canvas, err := drawPicture(points)
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	_, err = canvas.WriteTo(file)
	return err
}
